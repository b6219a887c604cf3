package graceful

import (
	"bytes"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/traffic"
)

// Options configures a Listener.
type Options struct {
	// Party is who connects.
	Party traffic.Party
	// Refuse has an idle connection that the host ends get a response of status 408 first: a
	// request that crosses the end was not run. It is for listeners without TLS, and for
	// clients that know such a response on a connection without request, as RFC 9110 has it.
	Refuse bool
	// RefusalHeader is added to that response.
	RefusalHeader http.Header
	// SettleWithin bounds the wait for a moment in which nothing arrives, if it is set.
	SettleWithin time.Duration
	Logger       log.Logger
	Metrics      *Metrics
}

// refusal returns the response of Refuse, or nothing.
func (o *Options) refusal() []byte {
	if !o.Refuse {
		return nil
	}
	header := o.RefusalHeader.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set("Connection", "close")
	header.Set("Content-Length", "0")
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 408 Request Timeout\r\n")
	// Writes to a buffer don't fail.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
