package detour

import (
	"io"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/upstream"
)

// TestHelperWithAnotherRecordIsPassedOver has a stranded host ask for calls to one incarnation of an
// endpoint. A host that has read the record of another one does not make them.
func TestHelperWithAnotherRecordIsPassedOver(t *testing.T) {
	e := startTestEndpoint(t)
	check := func(process string) *upstream.Check {
		return &upstream.Check{Process: process, Target: "/report", Host: "h", Passes: func(int, http.Header, []byte) error { return nil }}
	}
	hosts := startTestHosts(t, 3, e, func(i int, o *Options) {
		o.Check = func(*endpoint.Endpoint, http.Header) *upstream.Check { return check([]string{"old", "new", "old"}[i]) }
	})
	hosts[0].strand(t)
	send := func(process string) (via string, err error) {
		resp, err := hosts[0].sender.Send(testContext(t), "e0", hosts[0].address(e), &upstream.Call{
			Request: "r1", Method: http.MethodPost, Target: "/echo", Host: "h", Header: http.Header{"X-Request-Id": {"r1"}}, Check: check(process),
		})
		if err != nil {
			return "", err
		}
		defer resp.Close()
		_, err = io.Copy(io.Discard, resp)
		return resp.Via, err
	}
	for range 3 {
		if via, err := send("old"); err != nil || via != "host-2" {
			t.Errorf("through %q, error %v", via, err)
		}
	}
	if via, err := send("none of these"); !errors.Is(err, upstream.ErrCutOff) {
		t.Errorf("through %q, error %v", via, err)
	}
}

// TestHelperChecksForAHostThatKnowsOfVersions has a host that has read a single version make a call for
// one that knows of several.
func TestHelperChecksForAHostThatKnowsOfVersions(t *testing.T) {
	e := startTestEndpoint(t)
	for _, knows := range []bool{true, false} {
		hosts := startTestHosts(t, 2, e, func(_ int, o *Options) {
			o.Check = func(*endpoint.Endpoint, http.Header) *upstream.Check {
				return &upstream.Check{Process: "p", Target: "/echo", Host: "h", AtEnd: true, Passes: func(int, http.Header, []byte) error { return errors.New("another") }}
			}
		})
		hosts[0].strand(t)
		check := &upstream.Check{Process: "p", AtEnd: !knows}
		resp, err := hosts[0].sender.Send(testContext(t), "e0", hosts[0].address(e), &upstream.Call{
			Request: "r1", Method: http.MethodPost, Target: "/echo", Host: "h", Header: http.Header{"X-Request-Id": {"r1"}}, Check: check,
		})
		if err == nil {
			resp.Close()
		}
		if knows != errors.Is(err, upstream.ErrNotSent) {
			t.Errorf("a host that knows of several versions (%t): %v", knows, err)
		}
	}
}
