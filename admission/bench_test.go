package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/objects"
)

// BenchmarkDecision measures one request and one release at a full endpoint, with
// one queued request for each customer.
func BenchmarkDecision(b *testing.B) {
	for _, customers := range []int{16, 1_000, 16_000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			benchmarkDecision(b, customers)
		})
	}
}

func benchmarkDecision(b *testing.B, customers int) {
	h := NewHome("e", 16, Options{Queue: 1 << 20, CustomerQueue: 1 << 20, Lease: time.Hour})
	requests := make([]*Request, customers)
	var running []string
	recordGrants := func(effects []Effect) {
		for _, e := range effects {
			if g, ok := e.(Granted); ok {
				running = append(running, g.Ticket)
			}
		}
	}
	for i := range requests {
		r := request(fmt.Sprint("first", i), objects.ClassOnline)
		r.Customer, r.ExpectedTokens = fmt.Sprint(i), 10+i%500
		requests[i] = r
		recordGrants(h.Acquire(epoch, r))
	}
	names := make([]string, 1<<16)
	for i := range names {
		names[i] = fmt.Sprint("r", i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		r := requests[i%customers]
		r.Ticket = names[i%len(names)]
		clear(h.released)
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		recordGrants(h.Acquire(now, r))
		done := running[0]
		running = running[1:]
		recordGrants(h.Release(now, &Release{Ticket: done}))
		i++
	}
}
