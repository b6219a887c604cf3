package tlsfiles

import (
	"crypto/tls"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
)

// Options tell when files are looked at.
type Options struct {
	// Interval is the time between two looks.
	Interval time.Duration
	Now      func() time.Time
	Logger   log.Logger
}

// Certificate is a listener's certificate. It is safe for concurrent use.
type Certificate struct {
	opts    Options
	files   *watched
	current atomic.Pointer[tls.Certificate]
}

// NewCertificate reads a certificate chain and its key, in PEM. The error is
// ErrFiles.
func NewCertificate(opts Options, chain, key string) (*Certificate, error) {
	files, err := newWatched(opts.Interval, opts.Now, chain, key)
	if err != nil {
		return nil, err
	}
	c := &Certificate{opts: opts, files: files}
	return c, c.use(files.contents)
}

func (c *Certificate) use(contents [][]byte) error {
	pair, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return errors.Wrap(ErrFiles, err.Error())
	}
	c.current.Store(&pair)
	return nil
}

// Config returns the settings of a listener that shows the certificate as it
// is at each handshake.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.get}
}

// get returns the newest valid certificate: while the files are not valid, the
// one before stays in use.
func (c *Certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	if err := c.files.look(c.use); err != nil {
		_ = level.Error(c.opts.Logger).Log("msg", "certificate not renewed", "err", err)
	}
	return c.current.Load(), nil
}
