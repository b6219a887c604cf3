package gateway

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/upstream"
)

// plainCheck returns the check for a call to an endpoint of a plain service, or nil if that has no health check. The id in an
// answer does not tell one that started again under its id; its record does, once this host has read it.
func plainCheck(e *endpoint.Endpoint, healthPath string, view func() *endpoint.View) *upstream.Check {
	if healthPath == "" {
		return nil
	}
	check := platform.HealthCheck(e, healthPath)
	answers := check.Passes
	check.Passes = func(status int, h http.Header, body []byte) error {
		if now := view().Endpoint(e.ID); now != nil && !now.Started.Equal(e.Started) {
			return errors.Errorf("started at %d, by its record of now at %d", e.Started.UnixMilli(), now.Started.UnixMilli())
		}
		return answers(status, h, body)
	}
	return check
}
