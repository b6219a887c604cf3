package fleet

import (
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/tlsfiles"
)

// Client returns a client that trusts the fleet's certificates. Each call may
// take timeout; 0 means any time.
func (f *File) Client(timeout time.Duration) (*http.Client, error) {
	if f.Authority == "" {
		return &http.Client{Timeout: timeout}, nil
	}
	options := tlsfiles.Options{Interval: time.Minute, Now: time.Now, Logger: log.NewNopLogger()}
	t, err := tlsfiles.NewTransport(options, &http.Transport{}, f.Authority)
	if err != nil {
		return nil, err
	}
	return &http.Client{Timeout: timeout, Transport: t}, nil
}
