package graceful

import (
	"crypto/tls"
	"net"
	"sync"

	"github.com/go-kit/log/level"
)

// tlsListener is a TLS listener over a Listener, and others between the two.
type tlsListener struct {
	net.Listener
	config *tls.Config
}

// NewTLSListener returns a listener of TLS connections over those of l, which are a Listener's.
// Unlike those of tls.NewListener they tell the Listener which bytes belong to requests: a
// client that was quiet since its handshake awaits nothing.
func NewTLSListener(l net.Listener, config *tls.Config) net.Listener {
	return &tlsListener{Listener: l, config: config}
}

// Accept implements net.Listener.
func (l *tlsListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	secured := tls.Server(accepted, l.config)
	own := unwrap(accepted)
	if own == nil {
		return secured, nil
	}
	own.secure(secured)
	return &tlsConn{Conn: secured, own: own}, nil
}

// tlsConn is a TLS connection over a Conn.
type tlsConn struct {
	*tls.Conn
	own  *Conn
	once sync.Once
}

// Read implements net.Conn. The first call makes the handshake, for which the caller's deadline
// holds as well.
func (c *tlsConn) Read(p []byte) (int, error) {
	var failed error
	c.once.Do(func() { failed = c.handshake() })
	if failed != nil {
		return 0, failed
	}
	return c.own.received(c.Conn.Read(p))
}

func (c *tlsConn) handshake() error {
	if err := c.Conn.Handshake(); err != nil {
		_ = level.Info(c.own.listener.opts.Logger).Log("event", "tls_handshake_failed",
			"party", c.own.listener.opts.Party, "peer", c.RemoteAddr().String(), "err", err)
		return err
	}
	c.own.handshaken()
	return nil
}

// Write implements net.Conn.
func (c *tlsConn) Write(p []byte) (int, error) {
	c.own.writing()
	n, err := c.Conn.Write(p)
	c.own.wrote(err)
	return n, err
}
