package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/settings"
)

// TestHeadsAtEachListener guards against a listener whose heads of requests have no bound, and against
// bounds that clients inside the limits meet: at each listener, heads of 16 KB with 3,000 fields are
// served, many at a time, and one with more fields than allowed is refused.
func TestHeadsAtEachListener(t *testing.T) {
	const (
		headBytes = 16_384
		together  = 16
		timeout   = time.Minute
	)
	s, err := settings.Parse("test", []byte(referenceSettings))
	if err != nil {
		t.Fatal(err)
	}
	n, err := newUnbound(s, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	if err := n.listen(); err != nil {
		t.Fatal(err)
	}
	ask := func(address, head string) int {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Error(err)
			return 0
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(timeout))
		if _, err := io.WriteString(c, head); err != nil {
			t.Error(err)
			return 0
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Error(err)
			return 0
		}
		return resp.StatusCode
	}
	head := func(fits func(bytes, fields int) bool) string {
		var b strings.Builder
		b.WriteString("GET /none HTTP/1.1\r\nHost: h\r\n")
		for n := 0; fits(b.Len()+8, n+2); n++ {
			fmt.Fprintf(&b, "%x:\n", n)
		}
		return b.String() + "\n"
	}
	for _, server := range []*server{n.callers, n.operators, n.peers} {
		go func() { _ = server.http.Serve(server.listener) }()
		t.Cleanup(server.close)
		address := server.listener.Addr().String()
		largest := head(func(bytes, _ int) bool { return bytes <= headBytes })
		var group sync.WaitGroup
		for range together {
			group.Go(func() {
				if status := ask(address, largest); status != http.StatusNotFound && status != http.StatusUnauthorized {
					t.Errorf("%s: largest head: status %d", server.opts.party, status)
				}
			})
		}
		group.Wait()
		tooMany := head(func(_, fields int) bool { return fields <= s.Listen.HeaderFields+1 })
		if status := ask(address, tooMany); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("%s: %d fields: status %d", server.opts.party, s.Listen.HeaderFields+1, status)
		}
	}
}

// TestHeadsAreReservedAtEachListener guards against a listener whose heads are not counted against the
// memory for all of them, or stay counted on a kept connection when their requests have ended.
func TestHeadsAreReservedAtEachListener(t *testing.T) {
	const timeout = 10 * time.Second
	s, err := settings.Parse("test", []byte(referenceSettings))
	if err != nil {
		t.Fatal(err)
	}
	n, err := newUnbound(s, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	if err := n.listen(); err != nil {
		t.Fatal(err)
	}
	reserved := func() float64 {
		families, err := n.registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range families {
			if f.GetName() == "peridotmount_heads_reserved_bytes" {
				return f.GetMetric()[0].GetGauge().GetValue()
			}
		}
		t.Fatal("no metric of the reserved memory")
		return 0
	}
	await := func(what string, ok func(float64) bool) {
		t.Helper()
		for ends := time.Now().Add(timeout); !ok(reserved()); time.Sleep(time.Millisecond) {
			if time.Now().After(ends) {
				t.Fatalf("%s: %g bytes are reserved", what, reserved())
			}
		}
	}
	for _, server := range []*server{n.callers, n.operators, n.peers} {
		go func() { _ = server.http.Serve(server.listener) }()
		t.Cleanup(server.close)
		party := string(server.opts.party)
		c, err := net.Dial("tcp", server.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(timeout))
		if _, err := io.WriteString(c, "POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"+strings.Repeat("a:\r\n", 3_000)+"\r\n"); err != nil {
			t.Fatal(err)
		}
		await(party+", a head without its body", func(v float64) bool { return v > 0 })
		if _, err := io.WriteString(c, "abc"); err != nil {
			t.Fatal(err)
		}
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.Close {
			t.Fatalf("%s: the connection is not kept: %v", party, err)
		}
		await(party+", a kept connection", func(v float64) bool { return v == 0 })
	}
}
