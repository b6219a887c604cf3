package quarantine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/gossip"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/ring"
)

const (
	// Stream is the log stream of notices, for hosts that start later.
	Stream = "quarantine"
	// KindNotice is the kind of gossip entries that hold a Notice.
	KindNotice gossip.Kind = "quarantine"
	// PathPrefix is that of the calls between hosts.
	PathPrefix = "/quarantine/"

	pathNotices = PathPrefix + "notices"
	pathPermits = PathPrefix + "permits"

	// tellTimeout bounds the time to tell all hosts of a crash, and to ask for
	// a permit.
	tellTimeout = time.Second
	// tellAtOnce bounds the hosts told at the same time.
	tellAtOnce = 32
	// permitWait bounds the wait for a suspect's turn.
	permitWait  = 10 * time.Second
	permitPause = 50 * time.Millisecond
	readLimit   = 100
	// gossipTTL is how long a notice is gossiped.
	gossipTTL  = 10 * time.Minute
	noticeRing = 1024
)

// Options are what a Guard is made of.
type Options struct {
	Host   string
	Book   BookOptions
	Poll   time.Duration
	View   func() *membership.View
	Store  *gossip.Store
	Log    platform.Log
	Client *http.Client
	Secret string
	Logger log.Logger
}

// Guard is a dispatch.Guard over a Book. It is a suture service, and safe for
// concurrent use.
type Guard struct {
	opts    Options
	logger  log.Logger
	unsaved *ring.Ring[Notice]
	next    int64

	mu      sync.Mutex
	book    *Book
	permits *permits
	// alone holds the suspects that this host may run, with the place where
	// each runs; the zero Place means that it does not run yet.
	alone map[dispatch.Fingerprint]Place
}

// NewGuard returns a Guard.
func NewGuard(opts Options) *Guard {
	return &Guard{
		opts:    opts,
		logger:  log.With(opts.Logger, "duty", "quarantine"),
		unsaved: ring.New[Notice](noticeRing),
		book:    NewBook(opts.Book),
		permits: newPermits(),
		alone:   make(map[dispatch.Fingerprint]Place),
	}
}

// Check implements dispatch.Guard. For a suspect it waits for the request's
// turn to run alone, for a bounded time.
func (g *Guard) Check(f dispatch.Fingerprint) dispatch.Verdict {
	deadline := time.Now().Add(permitWait)
	for {
		now := time.Now()
		g.mu.Lock()
		verdict := g.book.Check(f, now)
		place, mine := g.alone[f]
		g.mu.Unlock()
		if verdict != dispatch.Alone || mine && place == (Place{}) {
			return verdict
		}
		if !mine && g.ask(f) {
			g.mu.Lock()
			g.alone[f] = Place{}
			g.mu.Unlock()
			continue // The standing may have changed before the permit came.
		}
		if !now.Before(deadline) {
			return dispatch.Alone
		}
		time.Sleep(permitPause)
	}
}

// Started implements dispatch.Guard.
func (g *Guard) Started(f dispatch.Fingerprint, endpoint string, incarnation int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := Place{Endpoint: endpoint, Incarnation: incarnation}
	g.book.Started(f, p)
	if place, mine := g.alone[f]; mine && place == (Place{}) {
		g.alone[f] = p
	}
}

// Answered implements dispatch.Guard.
func (g *Guard) Answered(f dispatch.Fingerprint, endpoint string, incarnation int64) {
	g.mu.Lock()
	place, mine := g.alone[f]
	alone := mine && place == Place{Endpoint: endpoint, Incarnation: incarnation}
	notices := g.book.Answered(f, alone, time.Now())
	g.mu.Unlock()
	if len(notices) > 0 {
		g.tell(notices)
	}
}

// Ended implements dispatch.Guard. After a death it returns when the hosts in
// reach know, so that a request sent again finds them warned.
func (g *Guard) Ended(f dispatch.Fingerprint, endpoint string, incarnation int64, died bool) {
	g.mu.Lock()
	p := Place{Endpoint: endpoint, Incarnation: incarnation}
	place, mine := g.alone[f]
	alone := mine && place == p
	notices := g.book.Ended(f, p, died, alone, time.Now())
	g.mu.Unlock()
	if len(notices) > 0 {
		g.tell(notices)
	}
	if alone {
		g.mu.Lock()
		delete(g.alone, f)
		g.mu.Unlock()
		g.giveBack(f)
	}
}

func (g *Guard) tell(notices []Notice) {
	for _, n := range notices {
		_ = level.Warn(g.logger).Log("msg", "request", "fingerprint", uint64(n.Fingerprint), "standing", n.Standing)
		// A Notice holds only numbers, text and a time, which always encode.
		data, _ := json.Marshal(n)
		g.opts.Store.Publish(KindNotice, strconv.FormatUint(uint64(n.Fingerprint), 16), gossip.ScopeGlobal, data)
		// A full ring means that the hosts that start later hear by gossip only.
		_ = g.unsaved.Offer(n)
	}
	g.toAll(notices)
}

// toAll sends notices to all live hosts and waits for their answers.
func (g *Guard) toAll(notices []Notice) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	gate := make(chan struct{}, tellAtOnce)
	var group sync.WaitGroup
	for _, h := range g.opts.View().System() {
		if h.Name == g.opts.Host {
			continue
		}
		gate <- struct{}{}
		group.Go(func() {
			defer func() { <-gate }()
			client := httpjson.NewClient(h.Address, g.opts.Client).WithSecret(g.opts.Secret)
			if err := client.Do(ctx, http.MethodPost, pathNotices, notices, nil); err != nil {
				_ = level.Warn(g.logger).Log("msg", "host not told", "peer", h.Name, "err", err)
			}
		})
	}
	group.Wait()
}

// permitRequest asks a request's arbiter for the permit, or gives it back.
type permitRequest struct {
	Fingerprint dispatch.Fingerprint `json:"fingerprint"`
	Host        string               `json:"host"`
	Back        bool                 `json:"back,omitempty"`
}

func (g *Guard) ask(f dispatch.Fingerprint) bool {
	return g.permit(permitRequest{Fingerprint: f, Host: g.opts.Host}) == nil
}

func (g *Guard) giveBack(f dispatch.Fingerprint) {
	// A permit that is not given back ends by itself.
	_ = g.permit(permitRequest{Fingerprint: f, Host: g.opts.Host, Back: true})
}

// errBusy means that another host runs the suspect.
var errBusy = errors.New("suspect runs at another host")

func (g *Guard) permit(r permitRequest) error {
	view := g.opts.View()
	arbiter := membership.Preferred(strconv.FormatUint(uint64(r.Fingerprint), 16), view.System())
	host, found := view.ByName(arbiter)
	if !found || arbiter == g.opts.Host {
		return g.arbitrate(&r)
	}
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	client := httpjson.NewClient(host.Address, g.opts.Client).WithSecret(g.opts.Secret)
	return client.Do(ctx, http.MethodPost, pathPermits, r, nil)
}

func (g *Guard) arbitrate(r *permitRequest) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Back {
		g.permits.back(r.Fingerprint, r.Host)
		return nil
	}
	if !g.permits.take(r.Fingerprint, r.Host, time.Now()) {
		return errBusy
	}
	return nil
}

// Handler answers the other hosts.
func (g *Guard) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathNotices, func(w http.ResponseWriter, r *http.Request) {
		var notices []Notice
		if err := httpjson.ReadBody(r, &notices); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		g.take(notices)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST "+pathPermits, func(w http.ResponseWriter, r *http.Request) {
		var request permitRequest
		if err := httpjson.ReadBody(r, &request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := g.arbitrate(&request); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (g *Guard) take(notices []Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, n := range notices {
		g.book.Take(n, now)
	}
}

// String names the service to its supervisor.
func (g *Guard) String() string {
	return "quarantine"
}

// Serve implements suture.Service: it keeps notices in the log and applies
// those of others.
func (g *Guard) Serve(ctx context.Context) error {
	ticker := time.NewTicker(g.opts.Poll)
	defer ticker.Stop()
	for {
		if err := g.read(ctx); err != nil && ctx.Err() == nil {
			_ = level.Debug(g.logger).Log("msg", "notices not read", "err", err)
		}
		g.takeGossip()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case n := <-g.unsaved.C():
			g.save(ctx, n)
		case <-ticker.C:
		}
	}
}

// takeGossip applies the notices of other hosts, and takes this host's own
// back once all have heard them: the log keeps them for those that start later.
func (g *Guard) takeGossip() {
	var notices []Notice
	now := time.Now()
	for _, e := range g.opts.Store.All(KindNotice) {
		var n Notice
		if json.Unmarshal(e.Data, &n) != nil {
			continue
		}
		if e.Origin == g.opts.Host && now.Sub(n.At) >= gossipTTL {
			g.opts.Store.Withdraw(KindNotice, e.Key)
		}
		notices = append(notices, n)
	}
	g.take(notices)
}

func (g *Guard) save(ctx context.Context, n Notice) {
	data, _ := json.Marshal(n)
	if _, err := g.opts.Log.Append(ctx, Stream, [][]byte{data}); err != nil {
		_ = level.Warn(g.logger).Log("msg", "notice not kept", "err", err)
	}
}

func (g *Guard) read(ctx context.Context) error {
	for {
		page, err := g.opts.Log.Read(ctx, Stream, g.next, readLimit)
		if errors.Is(err, platform.ErrTrimmed) {
			g.next = page.Horizon
			continue
		}
		if err != nil {
			return err
		}
		var notices []Notice
		for i := range page.Records {
			var n Notice
			if json.Unmarshal(page.Records[i].Data, &n) == nil {
				notices = append(notices, n)
			}
		}
		g.take(notices)
		g.next = page.Next
		if page.Next >= page.End {
			return nil
		}
	}
}
