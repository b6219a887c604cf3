package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/standin"
)

// listing is the answer to a read of a job's results.
type listing struct {
	Total     int `json:"total"`
	NextToken int `json:"next_token"`
	Results   []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
	} `json:"results"`
}

// read reads the results of a job from a position on.
func read(t *testing.T, l *Ledger, job string, after int) listing {
	t.Helper()
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", job, after), nil)
	NewAPI(l).ServeHTTP(w, r)
	var got listing
	if err := json.Unmarshal(w.Body.Bytes(), &got); w.Code != http.StatusOK || err != nil {
		t.Fatalf("status %d, %q, error %v", w.Code, w.Body, err)
	}
	return got
}

// TestPositionsOutlastAllHosts ends items at two hosts at once, while the store carries out appends
// late or trims its history, and ends both hosts with writes under way, again and again. What was
// read at any host stands at the same positions at all that come after it.
func TestPositionsOutlastAllHosts(t *testing.T) {
	const items, rounds = 40, 8
	store := standin.NewStore(standin.StoreFaults{})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	engine, err := standin.StartReplica("engine-0", 3)
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Close()
	address := server.Listener.Addr().String()
	draw := rand.New(rand.NewPCG(1, 0))
	var seen listing
	for round := range rounds {
		// Appends of this round's hosts, which the store carries out after they have ended.
		store.SetFaults(standin.StoreFaults{LoseAnswers: draw.IntN(8), LateMillis: int64(draw.IntN(1000))})
		ctx, endHosts := context.WithCancel(context.Background())
		var hosts []*Ledger
		var stops []func()
		for _, name := range []string{"first", "second"} {
			l := newStoredLedger(fmt.Sprint(name, round), address, engine)
			stops = append(stops, followLedger(t, l))
			hosts = append(hosts, l)
		}
		if round == 0 {
			var all []jobs.Item
			for i := range items {
				all = append(all, jobs.Item{ID: fmt.Sprint("i", i), Path: "/lots-in/run", Tokens: 3, Body: []byte("q")})
			}
			if v, err := hosts[0].Submit(ctx, "j", "h", "/lots-in/j", all); err != nil || v != jobs.Accepted {
				t.Fatalf("verdict %v, error %v", v, err)
			}
		}
		for _, l := range hosts {
			for range items / rounds {
				item := draw.IntN(items)
				go func() {
					NewRunner(ctx, l).Run(ctx, &scheduler.Start{Ticket: "t", Endpoint: "engine-0", Item: scheduler.ItemRef{Job: "j", Item: item}}, new(recordingSlot))
				}()
			}
		}
		deadline := time.Now().Add(time.Duration(draw.IntN(600)) * time.Millisecond)
		for time.Now().Before(deadline) || round == 0 && len(seen.Results) == 0 {
			for _, l := range hosts {
				if err := l.refresh(ctx); err != nil {
					t.Fatal(err)
				}
				seen = compareListings(t, round, seen, read(t, l, "j", 0), items)
			}
		}
		if draw.IntN(2) == 0 {
			hosts[0].mu.Lock()
			read := hosts[0].state.Next()
			hosts[0].mu.Unlock()
			store.Trim(standin.TrimRequest{Topic: platform.TopicJobs.Name, Before: read})
			store.Trim(standin.TrimRequest{Topic: platform.TopicPayloads.Name, Before: 1 << 40})
		}
		endHosts()
		for _, stop := range stops {
			stop()
		}
	}
	if len(seen.Results) < items/2 {
		t.Errorf("%d results: the test did not reach what it tests", len(seen.Results))
	}
}

// compareListings returns the longer of two listings, of which the shorter one must be the start.
func compareListings(t *testing.T, round int, before, after listing, items int) listing {
	t.Helper()
	if after.Total != items || after.NextToken != len(after.Results) {
		t.Errorf("round %d: total %d, next_token %d after %d results", round, after.Total, after.NextToken, len(after.Results))
	}
	if len(after.Results) < len(before.Results) || !slices.Equal(before.Results, after.Results[:len(before.Results)]) {
		t.Fatalf("round %d: read\n%v\nbefore, then\n%v", round, before.Results, after.Results)
	}
	ids := make(map[string]bool)
	for _, r := range after.Results {
		if ids[r.ID] || r.State != "done" || r.Output == "" {
			t.Errorf("round %d: result %+v", round, r)
		}
		ids[r.ID] = true
	}
	return after
}
