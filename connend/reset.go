package connend

import "net"

// Reset resets a connection: its peer gets an error in place of a regular end. Connections that wrap
// another one have a method NetConn.
func Reset(c net.Conn) {
	socket := c
	for {
		wrapper, ok := socket.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		socket = wrapper.NetConn()
	}
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	// Below TLS, which would tell of a regular end.
	_ = socket.Close()
	_ = c.Close()
}
