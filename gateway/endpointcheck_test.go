package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
)

// TestPlainCheckTellsAnotherEndpoint guards against a part of a plain answer without a length that counts as whole, because
// another replica has the address of the one that sent it, or the same one started again; and against sound endpoints whose
// answers are not believed as they are full, leave, or have no record any more.
func TestPlainCheckTellsAnotherEndpoint(t *testing.T) {
	e := endpoint.Endpoint{ID: "e", Service: "plain", Address: "127.0.0.1:80", Started: time.UnixMilli(7)}
	for _, x := range []struct {
		name     string
		recorded *endpoint.Endpoint
		status   int
		instance string
		passes   bool
	}{
		{"healthy", &e, http.StatusOK, "e", true},
		{"leaves", &e, http.StatusServiceUnavailable, "e", true},
		{"full", &e, http.StatusTooManyRequests, "", true},
		{"health not served", &e, http.StatusNotFound, "", true},
		{"no record any more", nil, http.StatusOK, "e", true},
		{"another replica", &e, http.StatusOK, "f", false},
		{"another replica that leaves", &e, http.StatusServiceUnavailable, "f", false},
		{"a replica that is not meant", &e, http.StatusMisdirectedRequest, "", false},
		{"started again", &endpoint.Endpoint{ID: "e", Started: time.UnixMilli(8)}, http.StatusOK, "e", false},
	} {
		var records []endpoint.Endpoint
		if x.recorded != nil {
			records = append(records, *x.recorded)
		}
		check := plainCheck(&e, "/health", func() *endpoint.View { return endpoint.NewView(records) })
		h := http.Header{}
		if x.instance != "" {
			h.Set("X-Instance-Id", x.instance)
		}
		if err := check.Passes(x.status, h, nil); (err == nil) != x.passes {
			t.Errorf("%s: error %v", x.name, err)
		}
		if check.Header.Get("X-Expect-Instance") != "e" || check.Target != "/health" || !check.AtEnd {
			t.Errorf("check %+v", check)
		}
	}
	if plainCheck(&e, "", nil) != nil {
		t.Error("a service without a health check is checked")
	}
}
