package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// lagFleet is a dispatcher with engines that a test can slow down.
type lagFleet struct {
	t          *testing.T
	dispatcher *Dispatcher
	urls       map[string]string
}

func newLagFleet(t *testing.T, engines int) *lagFleet {
	f := &lagFleet{t: t, urls: make(map[string]string)}
	view := &membership.View{}
	for i := range engines {
		e := standin.NewEngine(standin.EngineOptions{Slots: 8, StepBase: time.Millisecond}, func() {})
		server := httptest.NewServer(e.Handler())
		t.Cleanup(server.Close)
		name := fmt.Sprint("engine-", i)
		f.urls[name] = server.URL
		view.Hosts = append(view.Hosts, platform.Host{
			Name: name, Role: platform.RoleEngine, State: platform.HostLive, Address: server.URL, Slots: 8, Incarnation: 1,
		})
	}
	f.dispatcher = New(Options{
		View:   func() *membership.View { return view },
		Client: &http.Client{},
		Policy: Policy{HedgeShare: 1, StallTimeout: time.Hour},
	})
	return f
}

func (f *lagFleet) call(tokens int) *Call {
	return &Call{
		RequestID: nonce(),
		Customer:  &objects.Customer{Name: "shop"},
		Service:   &objects.Service{Name: "writer", Kind: objects.ServiceModel, Model: "m", Version: "v", Idempotent: true},
		Class:     objects.ClassOnline,
		Prompt:    "one caption",
		MaxTokens: tokens,
	}
}

// warmUp runs calls until the dispatcher knows the median time between tokens.
func (f *lagFleet) warmUp(ctx context.Context) {
	for f.dispatcher.router.medianToken() == 0 {
		if _, err := f.dispatcher.Stream(ctx, f.call(8), func(int, string) error { return nil }); err != nil {
			f.t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// slowDown slows an engine down so much that it practically stops.
func (f *lagFleet) slowDown(endpoint string) {
	client := httpjson.NewClient(f.urls[endpoint], nil)
	faults := standin.EngineFaults{Slowdown: 1e6}
	if err := client.Do(context.Background(), http.MethodPut, "/faults", faults, nil); err != nil {
		f.t.Error(err)
	}
}

// TestLaggingStreamMoves practically stops the engine that serves a stream after its
// sixth token. The answer must be completed by another engine, with each token
// delivered exactly once.
func TestLaggingStreamMoves(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f := newLagFleet(t, 4)
	f.warmUp(ctx)
	const tokens = 40
	call := f.call(tokens)
	var locations []Location
	call.OnStream = func(at Location) { locations = append(locations, at) }
	var got strings.Builder
	result, err := f.dispatcher.Stream(ctx, call, func(offset int, token string) error {
		if offset == 5 {
			f.slowDown(locations[0].Endpoint)
		}
		got.WriteString(token)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	request := &engine.StreamRequest{Model: "m", Version: "v", Prompt: call.Prompt}
	var want strings.Builder
	for i := range tokens {
		want.WriteString(standin.Token(request, i))
	}
	if got.String() != want.String() || result.Tokens != tokens {
		t.Errorf("got %d tokens %q, want %q", result.Tokens, got.String(), want.String())
	}
	if len(locations) < 2 || result.Endpoint == locations[0].Endpoint {
		t.Errorf("ended at %s after %v, want another endpoint than the first", result.Endpoint, locations)
	}
}
