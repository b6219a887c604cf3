// Package sockopt sets the options that let a process notice a peer that has no power: the
// platform's network drops packets to it instead of refusing them. A peer that was only
// silent for a moment keeps its connections.
package sockopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control sets UserTimeout on a socket; it fits net.Dialer and net.ListenConfig.
func Control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// KeepAlive returns the probes of idle connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Dialer returns a dialer whose connections are probed and bounded in time.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: Control}
}

// maxUnsent bounds what a connection of a listener holds that was not sent, in bytes. Without it the
// kernel keeps up to tcp_wmem, usually 4 MB, for each client that does not read. It bounds no bytes in
// flight, and so no throughput.
const maxUnsent = 128 << 10

// ListenConfig returns what makes listeners whose connections are probed, and hold few unsent bytes.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: controlListener}
}

// controlListener sets the options of a listener's socket, which its connections inherit.
func controlListener(network, address string, c syscall.RawConn) error {
	if err := Control(network, address, c); err != nil {
		return err
	}
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
	})
	if err != nil {
		return err
	}
	return failed
}
