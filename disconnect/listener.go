package disconnect

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Listener is a net.Listener whose connections are Conns.
type Listener struct {
	net.Listener
	ended *prometheus.CounterVec
}

// NewListener returns a Listener that counts the ends of its connections by cause.
func NewListener(l net.Listener, ended *prometheus.CounterVec) *Listener {
	return &Listener{Listener: l, ended: ended}
}

// NewCounter returns the counter of a Listener, registered with r.
func NewCounter(r prometheus.Registerer) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "peridotmount_listener_ended_connections_total",
		Help: "Connections of callers that ended, by what ended them first.",
	}, []string{"cause"})
	r.MustRegister(v)
	return v
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, ended: l.ended}, nil
}
