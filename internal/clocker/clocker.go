package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as a time.Time.
//
// It goes on while the machine is suspended, and no correction of the time of day moves it.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// Until returns the time that is left until t by Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
