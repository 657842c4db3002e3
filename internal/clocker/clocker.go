package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's boot as a time.Time.
//
// The clock keeps running while the machine is suspended, and corrections of the time of day do not change it.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// Until returns the duration from Now until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
