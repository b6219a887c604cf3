package traffic

import "net"

// listener counts the bytes of the connections that it accepts.
type listener struct {
	net.Listener
	counter *Counter
	party   Party
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.wrap(conn, l.party), nil
}
