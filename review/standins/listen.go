package main

import (
	"context"
	"net"
	"syscall"
)

// Properties of a runner's channels. Links have small windows, so that a peer that does not read blocks the writer (DEPLOY.md); loopback has
// segments of 64 KiB and windows to match, unless a listener asks for less.
const (
	receiveBuffer = 32 << 10
	segmentSize   = 1460
)

func listenAsOverEthernet() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize)
		})
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}
