package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"sync/atomic"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
)

// Transport calls servers whose certificates are signed by the authorities in
// a file. It is safe for concurrent use.
type Transport struct {
	opts    Options
	files   *watched
	base    *http.Transport
	current atomic.Pointer[http.Transport]
}

// NewTransport returns a copy of base that trusts the certificates, in PEM, in
// the file authority. The error is ErrFiles.
func NewTransport(opts Options, base *http.Transport, authority string) (*Transport, error) {
	files, err := newWatched(opts.Interval, opts.Now, authority)
	if err != nil {
		return nil, err
	}
	t := &Transport{opts: opts, files: files, base: base}
	return t, t.use(files.contents)
}

// use makes a new transport: connections made under the old authorities are
// not used for new calls.
func (t *Transport) use(contents [][]byte) error {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(contents[0]) {
		return errors.Wrapf(ErrFiles, "no certificates in %s", t.files.paths[0])
	}
	next := t.base.Clone()
	next.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if old := t.current.Swap(next); old != nil {
		old.CloseIdleConnections()
	}
	return nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := t.files.look(t.use); err != nil {
		_ = level.Error(t.opts.Logger).Log("msg", "authorities not renewed", "err", err)
	}
	return t.current.Load().RoundTrip(r)
}

// CloseIdleConnections lets http.Client close the idle connections.
func (t *Transport) CloseIdleConnections() {
	t.current.Load().CloseIdleConnections()
}
