package timeline

import "net/http"

// HeaderStamp carries the sender's stamp on the calls and answers of the
// system's own processes.
const HeaderStamp = "Peridotmount-Stamp"

// Transport stamps the calls that go through it and applies the stamps of
// their answers, so that events on both sides are in causal order.
type Transport struct {
	Clock *Clock
	Base  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// A RoundTripper must not change the request that it is given.
	stamped := r.Clone(r.Context())
	stamped.Header.Set(HeaderStamp, t.Clock.Stamp().String())
	resp, err := t.Base.RoundTrip(stamped)
	if err != nil {
		return nil, err
	}
	observe(t.Clock, resp.Header)
	return resp, nil
}

// CloseIdleConnections lets http.Client close the idle connections of Base.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// observe applies the stamp in h and reports whether there was one.
func observe(c *Clock, h http.Header) bool {
	s, err := ParseStamp(h.Get(HeaderStamp))
	if err != nil {
		return false
	}
	c.Observe(s)
	return true
}
