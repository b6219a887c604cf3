package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/bounded"
	"github.com/peridotmount/peridotmount/heads"
	"github.com/peridotmount/peridotmount/traffic"
)

// TestHeadsOfAListener guards against a listener that does not learn when requests end, so that a kept
// connection uses up the memory for heads, and against one that serves a refused request because it was
// read together with an earlier one.
func TestHeadsOfAListener(t *testing.T) {
	const (
		fields  = 100
		kept    = 3
		timeout = 10 * time.Second
	)
	var handled atomic.Int64
	registry := prometheus.NewRegistry()
	party := traffic.Party("test")
	l, err := listen(&listenerOptions{
		name: "test", address: "127.0.0.1:0", connections: 4, full: bounded.RespondFull,
		handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }),
		metrics: bounded.NewVectors(registry).ForParty(party),
		heads: heads.Options{
			Party: party, MaxBytes: headerBytes, MaxFields: fields,
			Budget: heads.NewBudget(heads.MemoryFor(headerBytes, fields), registry),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = l.Serve(ctx)
	}()
	defer func() {
		cancel()
		<-served
	}()
	c, err := net.Dial("tcp", l.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeout))
	r := bufio.NewReader(c)
	status := func() int {
		t.Helper()
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode
	}
	reserved := func() float64 {
		families, err := registry.Gather()
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
	head := func(fields int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", fields-1) + "\r\n"
	}
	for range kept {
		if _, err := io.WriteString(c, head(fields)); err != nil {
			t.Fatal(err)
		}
		if got := status(); got != http.StatusOK {
			t.Fatalf("%d fields: status %d", fields, got)
		}
		for ends := time.Now().Add(timeout); reserved() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(ends) {
				t.Fatalf("%g bytes are reserved when the request has ended", reserved())
			}
		}
	}
	// Both heads arrive in one read.
	if _, err := io.WriteString(c, head(2)+head(fields+1)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []int{http.StatusOK, http.StatusRequestHeaderFieldsTooLarge} {
		if got := status(); got != want {
			t.Errorf("status %d, want %d", got, want)
		}
	}
	if n := handled.Load(); n != kept+1 {
		t.Errorf("%d requests were handled, want %d", n, kept+1)
	}
}
