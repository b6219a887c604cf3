package httpjson

import (
	"context"
	"net/http"
	"testing"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestInvalidStatusIsNoAnswer guards against an answer whose status is none, such as 000, that is decoded as a success.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range rawhttp.InvalidStatuses() {
		server, err := rawhttp.Start(rawhttp.AnswerStatus(status))
		if err != nil {
			t.Fatal(err)
		}
		var got message
		if err := NewClient("http://"+server.Address(), &http.Client{Transport: &http.Transport{}}).Do(context.Background(), http.MethodGet, "/x", nil, &got); err == nil {
			t.Errorf("status %s: %+v is taken for an answer", status, got)
		}
	}
}
