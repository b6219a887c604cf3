package engine

import (
	"context"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestInvalidStatusIsNoAnswer guards against an endpoint's answer whose status is none, such as 000, that is passed on to
// the caller of a plain service, or that counts as a refusal of a stream, which would have not run.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range rawhttp.InvalidStatuses() {
		e, err := rawhttp.Start(rawhttp.AnswerStatus(status))
		if err != nil {
			t.Fatal(err)
		}
		client := &http.Client{Transport: &http.Transport{}}
		r, err := http.NewRequest(http.MethodGet, "http://caller.example/", nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp, err := NewHTTPPlain("http://"+e.Address(), client).Call(context.Background(), r); !errors.Is(err, ErrBroken) {
			t.Errorf("status %s of a plain call: response %+v, error %v", status, resp, err)
		}
		if _, err := NewHTTPEngine("http://"+e.Address(), client).Start(context.Background(), StreamRequest{}); !errors.Is(err, ErrBroken) {
			t.Errorf("status %s of a stream: error %v", status, err)
		}
		e.Close()
	}
}
