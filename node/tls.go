package node

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/peridotmount/peridotmount/connend"
	"github.com/peridotmount/peridotmount/settings"
	"github.com/peridotmount/peridotmount/tlsfiles"
	"github.com/peridotmount/peridotmount/traffic"
)

// maxResponseHeadBytes bounds the head of a response, in bytes. In memory, 16 KB of short fields take
// about 300 KB.
const maxResponseHeadBytes = 16 << 10

func (n *Node) tlsOptions() tlsfiles.Options {
	return tlsfiles.Options{Interval: n.settings.TLS.Reload, Now: time.Now, Logger: n.logger}
}

// listenerTLS returns the TLS settings of a listener; nil means plain HTTP.
func (n *Node) listenerTLS(files settings.CertificateFiles) *tls.Config {
	if files.Certificate == "" {
		return nil
	}
	certificate, err := tlsfiles.NewCertificate(n.tlsOptions(), files.Certificate, files.Key)
	if err != nil {
		n.buildErr = err
		return nil
	}
	return certificate.Config()
}

// newTransport returns a transport whose connections to p are counted, and that
// trusts the authorities of the settings.
func (n *Node) newTransport(p traffic.Party) http.RoundTripper {
	return n.newTransportOver(n.traffic.Dial(p))
}

// newTransportOver returns a transport over connections that dial makes.
func (n *Node) newTransportOver(dial dialFunc) http.RoundTripper {
	base := &http.Transport{
		DialContext:         connend.Dial(dial),
		MaxIdleConnsPerHost: connectionsPer,
		IdleConnTimeout:     time.Minute,
		// Bounds what an endpoint that sends a head without end takes of the host's memory.
		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
	if n.settings.TLS.Authority == "" {
		return base
	}
	t, err := tlsfiles.NewTransport(n.tlsOptions(), base, n.settings.TLS.Authority)
	if err != nil {
		n.buildErr = err
		return base
	}
	return t
}
