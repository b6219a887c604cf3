package e2e

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/standin"
)

// TestHostLinkFailsInEachManner checks what a host sees of a link that is cut: on a
// connection that was open, on a new one, and on a new one after the cut.
func TestHostLinkFailsInEachManner(t *testing.T) {
	for manner, want := range map[cutManner]struct{ kept, fresh string }{
		cutHang:       {kept: "silent", fresh: "silent"},
		cutReset:      {kept: "broken", fresh: "broken"},
		cutRefuse:     {kept: "broken", fresh: "refused"},
		cutRefuseKept: {kept: "served", fresh: "refused"},
	} {
		t.Run(string(manner), func(t *testing.T) {
			r, err := standin.StartReplica("r", 0)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Close)
			source := net.IPv4(127, 0, 1, 7)
			p := newHostLink(t, r.Address(), source)
			for round := range 2 {
				kept, err := net.Dial("tcp", p.address)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = kept.Close() }()
				if got := ask(kept); got != "served" {
					t.Fatalf("round %d: before the cut: %s", round, got)
				}
				p.cut(manner)
				if got := ask(kept); got != want.kept {
					t.Errorf("round %d: open connection: %s, want %s", round, got, want.kept)
				}
				if got := askAt(p.address); got != want.fresh {
					t.Errorf("round %d: new connection: %s, want %s", round, got, want.fresh)
				}
				p.heal()
				if got := askAt(p.address); got != "served" {
					t.Errorf("round %d: after the cut: %s", round, got)
				}
			}
			for _, run := range r.Runs() {
				if run.From != source.String() {
					t.Errorf("the endpoint saw %s", run.From)
				}
			}
		})
	}
}

// askTime is how long a link may take to answer.
const askTime = 300 * time.Millisecond

// askAt sends a request on a connection of its own.
func askAt(address string) string {
	c, err := net.DialTimeout("tcp", address, askTime)
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return "silent"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case err != nil:
		return "broken"
	}
	defer func() { _ = c.Close() }()
	return ask(c)
}

func ask(c net.Conn) string {
	_ = c.SetDeadline(time.Now().Add(askTime))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: r\r\nX-Request-Id: a\r\n\r\n")
	buffer := make([]byte, 1024)
	n, err := c.Read(buffer)
	var timeout net.Error
	switch {
	case n > 0:
		return "served"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "silent"
	}
	return "broken"
}
