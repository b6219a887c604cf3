package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// TestRoutesQuotas has a workspace send many times its quota to all hosts, to engines and to a plain
// service, while the scheduling host is killed: in no 5 s do more of its requests run than the bound
// allows, those beyond it are told when to come again, and another workspace that keeps to its quota is
// never refused for it.
func TestRoutesQuotas(t *testing.T) {
	const (
		rate, burst = 10, 5
		window      = 5 * time.Second
		bound       = (rate*5+burst)*1.1 + 20
	)
	f := &routedFleet{t: t, store: standin.NewStore(standin.StoreFaults{}), settings: "[quotas]\nwindow = 5s\noverrun = 0.1\nslack = 20\n"}
	f.storeAddress = f.serveStore()
	for i := range 3 {
		f.engines = append(f.engines, f.replica(fmt.Sprintf("engine-%d", i), "engines", 4))
		f.plain = append(f.plain, f.replica(fmt.Sprintf("plain-%d", i), "plain", 0))
	}
	text := fmt.Sprintf(routedConfiguration, 1, routedQuota, "")
	text = strings.Replace(text, `"limits":`, fmt.Sprintf(
		`"tenants":[{"name":"acme","api_keys":["key-acme"],"rate_per_s":%d,"burst":%d},{"name":"beta","api_keys":["key-beta"],"rate_per_s":40,"burst":40}],"limits":`, rate, burst), 1)
	f.store.Put(platform.TopicOperator.Name, platform.KeyConfiguration, []byte(text))
	for i := range 3 {
		f.gateways = append(f.gateways, f.newGateway(fmt.Sprintf("host-%d", i), f.storeAddress))
		f.awaitReady(f.gateways[i])
	}
	// Quotas fill from empty when all hosts start.
	time.Sleep(2 * time.Second)

	var seq, admitted, refused, wrong atomic.Int64
	var killed atomic.Bool
	until := time.Now().Add(9 * time.Second)
	send := func(g *gateway, key string) {
		n := seq.Add(1)
		path := "/check/x"
		if n%2 == 0 {
			path = "/stream/x"
		}
		r := g.sendWith(http.MethodPost, path, fmt.Sprintf("%s-%d", key, n), nil, map[string]string{"X-Credential": key, "X-Wait-Ms": "3000"})
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		switch {
		case r.err != nil:
		case r.status == http.StatusOK && key == "key-acme":
			admitted.Add(1)
		case r.status == http.StatusTooManyRequests && key == "key-acme" && err == nil && after > 0:
			refused.Add(1)
		case r.status == http.StatusTooManyRequests:
			wrong.Add(1)
			t.Errorf("%s: 429 with Retry-After %q", key, r.header.Get("Retry-After"))
		}
	}
	var senders sync.WaitGroup
	for i, g := range f.gateways {
		for _, load := range []struct {
			key   string
			pause time.Duration
		}{{"key-acme", 25 * time.Millisecond}, {"key-beta", 250 * time.Millisecond}} {
			senders.Go(func() {
				var calls sync.WaitGroup
				for time.Now().Before(until) && (i > 0 || !killed.Load()) {
					calls.Go(func() { send(g, load.key) })
					time.Sleep(load.pause)
				}
				calls.Wait()
			})
		}
	}
	time.Sleep(4 * time.Second)
	// The first host has been up for the longest, and schedules.
	killed.Store(true)
	f.gateways[0].kill()
	senders.Wait()

	first := make(map[string]time.Time)
	for _, r := range append(slices.Clone(f.engines), f.plain...) {
		for _, run := range r.Runs() {
			if at, found := first[run.Request]; run.Header.Get("X-Tenant") == "acme" && (!found || run.At.Before(at)) {
				first[run.Request] = run.At
			}
		}
	}
	var runs []time.Time
	for _, at := range first {
		runs = append(runs, at)
	}
	slices.SortFunc(runs, time.Time.Compare)
	for i, from := 0, 0; i < len(runs); i++ {
		for runs[i].Sub(runs[from]) >= window {
			from++
		}
		if n := i - from + 1; float64(n) > bound {
			t.Fatalf("%d requests ran within %s, %.1f are allowed", n, window, bound)
		}
	}
	if admitted.Load() < 2*rate || refused.Load() < 2*rate {
		t.Errorf("%d admitted, %d refused: the run did not reach what it tests", admitted.Load(), refused.Load())
	}
	t.Logf("%d ran, %d answered, %d beyond the quota", len(runs), admitted.Load(), refused.Load())
}
