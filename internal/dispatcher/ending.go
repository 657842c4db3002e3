package dispatcher

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// writerGrace is how long the end of a response waits for the goroutine that still sends the request, which a reset wakes at once, where the
// kernel does not tell how the connection ended.
const writerGrace = 100 * time.Millisecond

// checkEnding returns an error if a response that only its connection ends was cut off. It is called once the reader has seen the end.
//
// The kernel reports the reset of a connection once. If the goroutine that sends the request has taken that report, the reader sees a regular
// end. So the end counts only if the server's FIN has arrived, which the kernel's state of the connection and the error of the writer tell.
func (x *exchange[C, S]) checkEnding(resp *http.Response) error {
	if !endsWithConnection(resp) {
		return nil
	}
	select {
	case err := <-x.writeResult:
		x.writeResult <- err
		return resetError(err)
	default:
	}
	state, known := tcpState(x.conn.Conn)
	if known && state == unix.BPF_TCP_CLOSE_WAIT {
		return nil
	}
	select {
	case err := <-x.writeResult:
		x.writeResult <- err
		return resetError(err)
	case <-time.After(writerGrace):
	}
	if known && state == unix.BPF_TCP_CLOSE {
		return syscall.ECONNRESET
	}
	return nil
}

// endsWithConnection reports whether nothing but the end of the connection marks the end of a response.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// resetError returns the error of the writer if it shows that the connection ended before the server's FIN. After the FIN, the kernel reports a
// reset as EPIPE.
func resetError(err error) error {
	if errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return err
}

// tcpState returns the kernel's state of a connection; known is false if the kernel does not tell.
func tcpState(conn net.Conn) (state uint8, known bool) {
	info, err := tcpInfo(conn)
	if err != nil {
		return 0, false
	}
	return info.State, true
}

// tcpInfo returns what the kernel knows of a connection.
func tcpInfo(conn net.Conn) (*unix.TCPInfo, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil {
		return nil, err
	}
	return info, infoErr
}
