package dispatcher

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Times of the checks of a connection on which a request is being sent.
const (
	// firstWindowCheck is the age of an exchange at which its connection is checked first; the request of most has been read by then.
	firstWindowCheck = 500 * time.Millisecond
	// windowCheckInterval is the interval of the following checks, several of which fit into tcpUserTimeout.
	windowCheckInterval = 250 * time.Millisecond
	// probeAckTimeout is the age of the last acknowledgement from which a server with a closed window is taken for unreachable. Kernels acknowledge
	// such probes at most once in 0.5 s, and the time between probes doubles at first.
	probeAckTimeout = tcpUserTimeout
	// probeHeadroom is how far ahead the timeout is set. The kernel sends the next probe then at the latest.
	probeHeadroom = 750 * time.Millisecond
)

// windowWatch keeps the kernel from closing a connection to a server that lives but does not read yet.
//
// TCP_USER_TIMEOUT is there to notice a server behind a cut link. It counts from the first window probe as well, though the server acknowledges each
// probe. While the window is closed and probes are answered, the watch therefore moves the timeout on, always by a little, since the kernel probes less
// and less often but not later than the timeout.
type windowWatch struct {
	conn net.Conn

	mutex   sync.Mutex
	timer   *time.Timer
	stopped bool
	// openAt is when the window was last seen open, and ackedBytes the number of acknowledged bytes then.
	openAt     time.Time
	ackedBytes uint64
	// timeout is the present TCP_USER_TIMEOUT of the connection.
	timeout time.Duration
}

// watchWindow starts the watch of a connection on which a request is sent from now on.
func watchWindow(conn net.Conn, now time.Time) *windowWatch {
	w := &windowWatch{conn: conn, openAt: now, timeout: tcpUserTimeout}
	w.timer = time.AfterFunc(firstWindowCheck, func() { w.check(time.Now()) })
	return w
}

// stop ends the watch and restores the timeout of the connection.
func (w *windowWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
	w.setTimeout(tcpUserTimeout)
}

// check moves the timeout if the window is closed and the server answers, and schedules the next check unless all bytes have arrived.
func (w *windowWatch) check(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	info, err := tcpInfo(w.conn)
	if err != nil || info.Notsent_bytes == 0 && info.Unacked == 0 {
		w.setTimeout(tcpUserTimeout)
		return
	}
	w.timer.Reset(windowCheckInterval)
	if info.Unacked > 0 || info.Bytes_acked != w.ackedBytes {
		w.openAt, w.ackedBytes = now, info.Bytes_acked
		w.setTimeout(tcpUserTimeout)
		return
	}
	if time.Duration(info.Last_ack_recv)*time.Millisecond < probeAckTimeout {
		w.setTimeout(now.Sub(w.openAt) + probeHeadroom)
	}
}

// setTimeout sets TCP_USER_TIMEOUT if it differs from the present one. The caller holds the mutex.
func (w *windowWatch) setTimeout(timeout time.Duration) {
	if timeout == w.timeout {
		return
	}
	raw, err := w.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	w.timeout = timeout
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
