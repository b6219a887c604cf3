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
	// Stream is the log stream that keeps the notices for hosts that start later.
	Stream = "quarantine"
	// KindNotice is the kind of gossip entries that hold a Notice.
	KindNotice gossip.Kind = "quarantine"
	// PathPrefix is the path prefix of the calls between hosts.
	PathPrefix = "/quarantine/"

	pathNotices = PathPrefix + "notices"
	pathPermits = PathPrefix + "permits"
	pathCrashes = PathPrefix + "crashes"

	// peerTimeout is the timeout for notifying all hosts of a crash, and for a permit
	// request.
	peerTimeout = time.Second
	// maxConcurrentNotifications bounds the hosts that are notified at the same time.
	maxConcurrentNotifications = 32
	// reportDelay is how long other hosts' reports of crashes take.
	reportDelay = 100 * time.Millisecond
	// permitWait bounds the time that Check waits for a suspect's permit, trying again
	// after each permitRetryInterval.
	permitWait          = 10 * time.Second
	permitRetryInterval = 50 * time.Millisecond
	// settleMargin is longer than a tick of the clock.
	settleMargin   = time.Millisecond
	recordsPerRead = 100
	// gossipTTL is how long a host gossips its own notices.
	gossipTTL       = 10 * time.Minute
	unsavedCapacity = 1024
)

// Options configures a Guard.
type Options struct {
	Host    string
	Tracker TrackerOptions
	// Poll is the interval between reads of the notices in the log and in gossip.
	Poll   time.Duration
	View   func() *membership.View
	Store  *gossip.Store
	Log    platform.Log
	Client *http.Client
	Secret string
	Logger log.Logger
}

// Guard implements dispatch.Guard with a Tracker, shares notices with the other hosts,
// and grants permits as the arbiter of some requests. It is a suture service, and safe
// for concurrent use.
type Guard struct {
	opts   Options
	logger log.Logger
	// unsaved queues this host's notices for appending to the log. nextOffset is the
	// offset in the log of the next record to read.
	unsaved    *ring.Ring[Notice]
	nextOffset int64

	mu      sync.Mutex
	tracker *Tracker
	// granted holds the permits that this host granted as arbiter.
	granted *permitTable
	// permitted holds the suspects that this host has a permit for, and where each
	// runs; the zero EndpointRun means that it does not run yet.
	permitted map[dispatch.Fingerprint]EndpointRun

	// parts attributes crashes to what requests have in common.
	parts *partGuard
}

// NewGuard returns a Guard.
func NewGuard(opts Options) *Guard {
	return &Guard{
		opts:      opts,
		logger:    log.With(opts.Logger, "duty", "quarantine"),
		unsaved:   ring.New[Notice](unsavedCapacity),
		tracker:   NewTracker(opts.Tracker),
		granted:   newPermitTable(),
		permitted: make(map[dispatch.Fingerprint]EndpointRun),
		parts:     newPartGuard(),
	}
}

// Check implements dispatch.Guard. For a suspect it waits until the death that made it one can't
// coincide with that of the next endpoint, so that the next death tells what caused it, and until
// this host has the permit to run it and the suspect does not run here yet. After permitWait it returns
// dispatch.Exclusive all the same.
func (g *Guard) Check(f dispatch.Fingerprint, parts []string) dispatch.Verdict {
	if g.parts.convicted(parts) {
		return dispatch.Quarantined
	}
	deadline := time.Now().Add(permitWait)
	for {
		now := time.Now()
		g.mu.Lock()
		verdict := g.tracker.Check(f, now)
		run, permitted := g.permitted[f]
		unsettled := g.tracker.Unsettled(f, now)
		g.mu.Unlock()
		if verdict == dispatch.Exclusive && unsettled >= 0 {
			time.Sleep(unsettled + settleMargin)
			continue
		}
		if verdict != dispatch.Exclusive || permitted && run == (EndpointRun{}) {
			return verdict
		}
		if !permitted && g.requestPermit(f) {
			g.mu.Lock()
			g.permitted[f] = EndpointRun{}
			g.mu.Unlock()
			continue // The status may have changed before the permit was granted.
		}
		if !now.Before(deadline) {
			return dispatch.Exclusive
		}
		time.Sleep(permitRetryInterval)
	}
}

// Started implements dispatch.Guard.
func (g *Guard) Started(f dispatch.Fingerprint, endpoint string, incarnation int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := EndpointRun{Endpoint: endpoint, Incarnation: incarnation}
	g.tracker.Started(f, current)
	if run, permitted := g.permitted[f]; permitted && run == (EndpointRun{}) {
		g.permitted[f] = current
	}
}

// Answered implements dispatch.Guard.
func (g *Guard) Answered(f dispatch.Fingerprint, endpoint string, incarnation int64) {
	g.mu.Lock()
	run, permitted := g.permitted[f]
	alone := permitted && run == EndpointRun{Endpoint: endpoint, Incarnation: incarnation}
	notices := g.tracker.Answered(f, alone, time.Now())
	g.mu.Unlock()
	if len(notices) > 0 {
		g.announce(notices)
	}
}

// Ended implements dispatch.Guard. After an endpoint's death it returns only when the
// reachable hosts have the notices or peerTimeout has passed, so that they check a
// retried request against its new status.
func (g *Guard) Ended(f dispatch.Fingerprint, endpoint string, incarnation int64, died bool) {
	current := EndpointRun{Endpoint: endpoint, Incarnation: incarnation}
	g.mu.Lock()
	run, permitted := g.permitted[f]
	g.mu.Unlock()
	alone := permitted && run == current
	culprit := alone
	if died && alone {
		// Endpoints that die together do so for another reason than a request that ran
		// alone on one of them. The hosts' reports of the others are on their way.
		time.Sleep(reportDelay)
		culprit = !g.parts.amongOthers(current.String())
	}
	g.mu.Lock()
	notices := g.tracker.Ended(f, current, died, culprit, time.Now())
	g.mu.Unlock()
	if len(notices) > 0 {
		g.announce(notices)
	}
	if alone {
		g.mu.Lock()
		delete(g.permitted, f)
		g.mu.Unlock()
		g.releasePermit(f)
	}
}

// announce logs and gossips notices, queues them for the log stream, and sends them to
// the live hosts.
func (g *Guard) announce(notices []Notice) {
	for _, n := range notices {
		_ = level.Warn(g.logger).Log("msg", "request", "fingerprint", uint64(n.Fingerprint), "standing", n.Status)
		// A Notice holds only numbers, strings and a time, so encoding cannot fail.
		data, _ := json.Marshal(n)
		g.opts.Store.Publish(KindNotice, strconv.FormatUint(uint64(n.Fingerprint), 16), gossip.ScopeGlobal, data)
		// If the ring is full, the notice is not written to the log, and hosts that
		// start later receive it by gossip only.
		_ = g.unsaved.Offer(n)
	}
	g.notifyPeers(notices)
}

// notifyPeers sends notices to all other live hosts and waits for their responses, for
// at most peerTimeout.
func (g *Guard) notifyPeers(notices []Notice) {
	g.sendToPeers(pathNotices, notices)
}

// sendToPeers sends a message to all other live hosts and waits for their responses, for
// at most peerTimeout.
func (g *Guard) sendToPeers(path string, message any) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	semaphore := make(chan struct{}, maxConcurrentNotifications)
	var group sync.WaitGroup
	for _, h := range g.opts.View().System() {
		if h.Name == g.opts.Host {
			continue
		}
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			client := httpjson.NewClient(h.Address, g.opts.Client).WithSecret(g.opts.Secret)
			if err := client.Do(ctx, http.MethodPost, path, message, nil); err != nil {
				_ = level.Warn(g.logger).Log("msg", "quarantine message not delivered to a host", "path", path, "peer", h.Name, "err", err)
			}
		})
	}
	group.Wait()
}

// permitRequest is sent to a request's arbiter to acquire or renew the permit to run
// it, or to release the permit.
type permitRequest struct {
	Fingerprint dispatch.Fingerprint `json:"fingerprint"`
	Host        string               `json:"host"`
	Release     bool                 `json:"back,omitempty"`
}

func (g *Guard) requestPermit(f dispatch.Fingerprint) bool {
	return g.sendPermitRequest(permitRequest{Fingerprint: f, Host: g.opts.Host}) == nil
}

func (g *Guard) releasePermit(f dispatch.Fingerprint) {
	// Errors are ignored: a permit that is not released expires after permitTTL.
	_ = g.sendPermitRequest(permitRequest{Fingerprint: f, Host: g.opts.Host, Release: true})
}

// errRunningElsewhere means that another host holds the permit to run the suspect.
var errRunningElsewhere = errors.New("suspect runs at another host")

// sendPermitRequest sends r to the request's arbiter, the live host that rendezvous
// hashing prefers for its fingerprint. This host decides itself if it is the arbiter
// or the arbiter is not in the view.
func (g *Guard) sendPermitRequest(r permitRequest) error {
	view := g.opts.View()
	arbiter := membership.Preferred(strconv.FormatUint(uint64(r.Fingerprint), 16), view.System())
	host, found := view.ByName(arbiter)
	if !found || arbiter == g.opts.Host {
		return g.handlePermitRequest(&r)
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	client := httpjson.NewClient(host.Address, g.opts.Client).WithSecret(g.opts.Secret)
	return client.Do(ctx, http.MethodPost, pathPermits, r, nil)
}

func (g *Guard) handlePermitRequest(r *permitRequest) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Release {
		g.granted.release(r.Fingerprint, r.Host)
		return nil
	}
	if !g.granted.acquire(r.Fingerprint, r.Host, time.Now()) {
		return errRunningElsewhere
	}
	return nil
}

// Handler serves the notices and permit requests of other hosts.
func (g *Guard) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathNotices, func(w http.ResponseWriter, r *http.Request) {
		var notices []Notice
		if err := httpjson.ReadBody(r, &notices); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		g.applyNotices(notices)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST "+pathPermits, func(w http.ResponseWriter, r *http.Request) {
		var request permitRequest
		if err := httpjson.ReadBody(r, &request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := g.handlePermitRequest(&request); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST "+pathCrashes, g.handleCrashReport)
	return mux
}

func (g *Guard) applyNotices(notices []Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, n := range notices {
		if len(n.Keys) > 0 {
			g.applyConviction(now, n)
			continue
		}
		g.tracker.Apply(n, now)
	}
}

// String returns the name of the service in its supervisor's log.
func (g *Guard) String() string {
	return "quarantine"
}

// Serve implements suture.Service: it appends this host's notices to the log, and
// applies those of other hosts from the log and from gossip.
func (g *Guard) Serve(ctx context.Context) error {
	ticker := time.NewTicker(g.opts.Poll)
	defer ticker.Stop()
	go g.judgeParts(ctx)
	for {
		if err := g.readLog(ctx); err != nil && ctx.Err() == nil {
			_ = level.Debug(g.logger).Log("msg", "quarantine notices not read from the log", "err", err)
		}
		g.applyGossip()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case n := <-g.unsaved.C():
			g.appendToLog(ctx, n)
		case <-ticker.C:
		}
	}
}

// applyGossip applies the gossiped notices, and withdraws this host's own after
// gossipTTL, when all live hosts have received them. The log keeps them for hosts that
// start later.
func (g *Guard) applyGossip() {
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
	g.applyNotices(notices)
}

func (g *Guard) appendToLog(ctx context.Context, n Notice) {
	data, _ := json.Marshal(n)
	if _, err := g.opts.Log.Append(ctx, Stream, [][]byte{data}); err != nil {
		_ = level.Warn(g.logger).Log("msg", "quarantine notice not appended to the log", "err", err)
	}
}

func (g *Guard) readLog(ctx context.Context) error {
	for {
		page, err := g.opts.Log.Read(ctx, Stream, g.nextOffset, recordsPerRead)
		if errors.Is(err, platform.ErrTrimmed) {
			g.nextOffset = page.Horizon
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
		g.applyNotices(notices)
		g.nextOffset = page.Next
		if page.Next >= page.End {
			return nil
		}
	}
}
