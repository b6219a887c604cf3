package graceful

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestRefusalOfALongCrossingRequestArrives sends a request in two parts on a connection that the
// host has already half-closed. The client reads only once it has sent all.
func TestRefusalOfALongCrossingRequestArrives(t *testing.T) {
	s := newTestServer(t, func(http.ResponseWriter, *http.Request) {})
	c := s.dial()
	exchange(t, c, testRequest)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	for s.inPhase(ending) == 0 {
		time.Sleep(time.Millisecond)
	}
	body := strings.Repeat("x", 32<<10)
	for _, part := range []string{"POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 65536\r\n\r\n" + body, body} {
		if _, err := io.WriteString(c, part); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("%+v, %v", resp, err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if n := s.unansweredRequests(ending); n != 1 {
		t.Errorf("%g requests counted", n)
	}
}
