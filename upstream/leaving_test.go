package upstream

import (
	"context"
	"io"
	"net/http"
	"testing"
)

// TestPassedOverAnswersAreHeard checks that the head of a discarded response, which may
// carry news of the endpoint that the right response lacks, is reported too.
func TestPassedOverAnswersAreHeard(t *testing.T) {
	address := startEndpoint(t, "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 1\r\n\r\nx"+
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "")
	var heads []string
	call := testCall()
	call.OnResponse = func(_ int, h http.Header) { heads = append(heads, h.Get("X-Other")) }
	resp, err := NewPool(Options{}).Send(context.Background(), "e", address, call)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Close()
	if len(heads) != 2 || heads[0] != "1" || heads[1] != "" {
		t.Errorf("heads reported: %q", heads)
	}
}

// TestConnectionsAreNotKept checks that no idle connection is kept to an endpoint that
// accepts no new work, or that announces that it closes the connection.
func TestConnectionsAreNotKept(t *testing.T) {
	for name, c := range map[string]struct {
		head     string
		keepIdle bool
		kept     bool
	}{
		"accepts work": {"", true, true},
		"draining":     {"", false, false},
		"closing":      {"Connection: close\r\n", true, false},
		"mixed case":   {"Connection: Keep-Alive, Close\r\n", true, false},
	} {
		address := startEndpoint(t, "HTTP/1.1 200 OK\r\n"+c.head+"Content-Length: 2\r\n\r\nok", "")
		p := NewPool(Options{KeepIdle: func(string) bool { return c.keepIdle }})
		resp, err := p.Send(context.Background(), "e", address, testCall())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if kept := resp.Close(); kept != c.kept || p.HasIdle("e") != c.kept {
			t.Errorf("%s: kept %t, idle %t", name, kept, p.HasIdle("e"))
		}
		p.CloseIdle("e")
	}
}
