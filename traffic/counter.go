package traffic

import (
	"context"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	dialTimeout = 3 * time.Second
	keepAlive   = 30 * time.Second
)

// Counter counts bytes by party and direction. It is safe for concurrent use.
type Counter struct {
	received *prometheus.CounterVec
	sent     *prometheus.CounterVec
}

// NewCounter returns a Counter whose metrics are registered with r, unless it
// is nil.
func NewCounter(r prometheus.Registerer) *Counter {
	c := &Counter{
		received: newVec("received", "received from"),
		sent:     newVec("sent", "sent to"),
	}
	if r != nil {
		r.MustRegister(c.received, c.sent)
	}
	return c
}

func newVec(direction, words string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "peridotmount",
		Subsystem: "traffic",
		Name:      direction + "_bytes_total",
		Help:      "Bytes " + words + " each party, as carried by TCP connections.",
	}, []string{"party"})
}

// Dial returns a dialer whose connections to p are counted.
func (c *Counter) Dial(p Party) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.wrap(conn, p), nil
	}
}

// Listener returns l with the connections that it accepts from p counted.
func (c *Counter) Listener(l net.Listener, p Party) net.Listener {
	return &listener{Listener: l, counter: c, party: p}
}

func (c *Counter) wrap(conn net.Conn, p Party) net.Conn {
	return &connection{
		Conn:     conn,
		received: c.received.WithLabelValues(string(p)),
		sent:     c.sent.WithLabelValues(string(p)),
	}
}
