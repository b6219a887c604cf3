package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/upstream"
)

// askingTransport asks a host, which does not make the call, and returns an error.
type askingTransport struct {
	host string
	err  error
}

// RoundTrip implements http.RoundTripper.
func (t *askingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ask, err := http.NewRequestWithContext(r.Context(), http.MethodPost, t.host, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultTransport.RoundTrip(ask)
	if err != nil {
		return nil, err
	}
	_ = resp.Body.Close()
	return nil, t.err
}

// TestCallThatNoHostMadeHasNotRun has other hosts asked for a call, over connections that are none
// to the endpoint.
func TestCallThatNoHostMadeHasNotRun(t *testing.T) {
	host := httptest.NewServer(http.NotFoundHandler())
	defer host.Close()
	for _, c := range []struct{ err, want error }{
		{upstream.ErrCutOff, ErrUnreachable},
		{upstream.ErrNotSent, ErrUnreachable},
		{upstream.ErrNoResponse, ErrBroken},
		{upstream.ErrPathLost, ErrBroken},
	} {
		client := &http.Client{Transport: &askingTransport{host: host.URL, err: c.err}}
		if _, err := NewHTTPEngine("http://endpoint.example", client).Start(context.Background(), StreamRequest{}); !errors.Is(err, c.want) {
			t.Errorf("%v: a stream got %v, want %v", c.err, err, c.want)
		}
		r, err := http.NewRequest(http.MethodGet, "http://caller.example/", nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := NewHTTPPlain("http://endpoint.example", client).Call(context.Background(), r); !errors.Is(err, c.want) {
			t.Errorf("%v: a plain call got %v, want %v", c.err, err, c.want)
		}
	}
}
