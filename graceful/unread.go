package graceful

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unread reports whether the kernel holds bytes, or the end, of a connection that were not read.
// A connection that can't be asked counts as read.
func unread(c net.Conn) bool {
	found := false
	control(c, func(fd int) {
		_, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		found = err == nil
	})
	return found
}

// pending reports whether a listener has connections to accept. A listener that can't be asked
// counts as having none.
func pending(l net.Listener) bool {
	found := false
	control(l, func(fd int) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		found = err == nil && n > 0
	})
	return found
}

// control calls f with the descriptor of a connection or listener, if it has one and is open.
func control(v any, f func(fd int)) {
	conn, ok := v.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}
