package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/disconnect"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/startup"
	"github.com/peridotmount/peridotmount/upstream"
)

// testTimeout is the timeout of tests for events that must happen.
const testTimeout = 20 * time.Second

// testConfiguration is a fixed Configuration.
type testConfiguration struct {
	current *route.Configuration
	// confirmErr is the error of Confirm, unless it waits until its context ends.
	confirmErr error
	waits      bool
	// confirmed and reachable are the results of Confirmed.
	confirmed time.Time
	reachable bool
}

func (c *testConfiguration) Confirmed() (sent time.Time, reachable bool) {
	return c.confirmed, c.reachable
}

func (c *testConfiguration) Current() *route.Configuration { return c.current }

func (c *testConfiguration) Confirm(ctx context.Context) error {
	if c.waits {
		<-ctx.Done()
		return ctx.Err()
	}
	return c.confirmErr
}

// testPlacer is a Placer that chooses the first of its endpoints that is not to be avoided and
// has the version that is asked for.
type testPlacer struct {
	mu        sync.Mutex
	requests  []*PlacementRequest
	endpoints []*endpoint.Endpoint
	// mayRepeat has requests go to an endpoint that they are to avoid.
	mayRepeat bool
	// draws has the endpoints tried in an order that is drawn.
	draws bool
	// released receives the Usage of each placement that is released.
	released chan Usage
	// replacesNone refuses places for attempts that are overdue, which have no deadline of their own.
	replacesNone bool
	// full makes requests wait until they end, delay for some time.
	full  bool
	delay time.Duration
	// held, unless it is nil, holds the requests and endpoints of placements in use, which are
	// avoided too: an attempt may begin before another one has told its endpoint.
	held map[string]bool
}

func (p *testPlacer) Place(ctx context.Context, request *PlacementRequest) (Placement, error) {
	p.mu.Lock()
	p.requests = append(p.requests, request)
	p.mu.Unlock()
	if _, bounded := ctx.Deadline(); p.replacesNone && !bounded {
		return nil, &Rejection{Reason: "no attempt is replaced"}
	}
	if p.full {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(p.delay)
	endpoints := slices.Clone(p.endpoints)
	if p.draws {
		rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	}
	for _, e := range endpoints {
		if (p.mayRepeat || !slices.Contains(request.Avoid, e.ID)) && (request.Version == nil || *request.Version == e.Version) {
			if placement := (&testPlacement{placer: p, endpoint: e, key: request.Request + " " + e.ID}); placement.hold() {
				return placement, nil
			}
		}
	}
	return nil, &Rejection{Reason: "all endpoints are to be avoided", RetryAfter: time.Second}
}

type testPlacement struct {
	placer   *testPlacer
	endpoint *endpoint.Endpoint
	// key is that of testPlacer.held.
	key string
}

// hold reports whether the placement may be used.
func (p *testPlacement) hold() bool {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	if p.placer.held == nil {
		return true
	}
	held := p.placer.held[p.key]
	p.placer.held[p.key] = true
	return !held
}

func (p *testPlacement) Endpoint() *endpoint.Endpoint { return p.endpoint }
func (p *testPlacement) ReportStalled()               {}
func (p *testPlacement) ReportResponding()            {}

func (p *testPlacement) Release(u Usage) {
	p.placer.mu.Lock()
	delete(p.placer.held, p.key)
	p.placer.mu.Unlock()
	p.placer.released <- u
}

// testbed is an HTTP server with a Forwarder, and the replicas that it sends requests to.
type testbed struct {
	t        *testing.T
	config   *testConfiguration
	replicas []*standin.Replica
	placer   *testPlacer
	leaving  chan endpoint.Incarnation
	// started is open, unless a test replaces it before the first request.
	started *startup.Gate
	server  *httptest.Server
	// shutdown is the schedule of the host's shutdown, if it shuts down.
	shutdown atomic.Pointer[Shutdown]
	// forwarder is the handler of the server, pool its connections to the replicas.
	forwarder *Forwarder
	pool      *upstream.Pool
	seq       int
	// jobs serves the calls of batch jobs, if a test sets it before the first request.
	jobs http.HandlerFunc
	// begunMu guards begunRequest and begunVersion, the arguments of the last OnBegun.
	begunMu                    sync.Mutex
	begunRequest, begunVersion string
	// begunVersions are the versions of all streams of which OnBegun told; onBegun is called by it, if
	// a test sets it before the first request.
	begunVersions map[string]string
	onBegun       func()
	// logLines holds the log. It must not be read before the server is closed.
	logLines bytes.Buffer
}

func newTestbed(t *testing.T, r route.Route, replicas, events int) *testbed {
	t.Helper()
	r.Host, r.Prefix, r.Name = "h.example", "/p/", "r"
	r.Backends = []route.Backend{{Service: "s", Weight: 1}}
	config := &route.Configuration{Version: 1, Routes: []route.Route{r}, Limits: route.Limits{BodyBytes: 1 << 20}}
	config.Index()
	b := &testbed{t: t, config: &testConfiguration{current: config}, placer: &testPlacer{released: make(chan Usage, 64)},
		begunVersions: make(map[string]string), leaving: make(chan endpoint.Incarnation, 64), started: startup.NewGate(), pool: upstream.NewPool(upstream.Options{DialTimeout: testTimeout})}
	b.started.Open()
	for i := range replicas {
		replica, err := standin.StartReplica(fmt.Sprintf("i-%d", i), events)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(replica.Close)
		b.replicas = append(b.replicas, replica)
		b.placer.endpoints = append(b.placer.endpoints, &endpoint.Endpoint{ID: replica.ID, Service: "s", Address: replica.Address(), Slots: 8, Started: time.UnixMilli(int64(i + 1))})
	}
	f := New(Options{
		Configuration: b.config,
		Placer:        b.placer,
		Sender:        b.pool,
		Started:       b.started,
		OnLeaving:     func(i endpoint.Incarnation) { b.leaving <- i },
		OnBegun:       b.recordBegun,
		OnLimit:       func(endpoint.Incarnation, float64, time.Time) {},
		Jobs:          http.HandlerFunc(b.serveJobs),
		MayRepeatJob:  func(string, string) bool { return false },
		RepeatsJob:    func(string, string, string, route.Caller) bool { return false },
		Shutdown:      b.shutdown.Load,
		BodyBudget:    16 << 20,
		Logger:        log.NewJSONLogger(log.NewSyncWriter(&b.logLines)),
	})
	b.forwarder = f
	b.server = httptest.NewUnstartedServer(f)
	b.server.Listener = disconnect.NewListener(b.server.Listener, disconnect.NewCounter(prometheus.NewRegistry()))
	b.server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return disconnect.NewContext(ctx, c.(*disconnect.Conn))
	}
	b.server.Start()
	t.Cleanup(b.server.Close)
	return b
}

func (b *testbed) serveJobs(w http.ResponseWriter, r *http.Request) {
	if b.jobs == nil {
		http.NotFound(w, r)
		return
	}
	b.jobs(w, r)
}

// ignoreReleases takes the placements that are released, for tests with many requests.
func (b *testbed) ignoreReleases() {
	done := make(chan struct{})
	b.t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-b.placer.released:
			case <-done:
				return
			}
		}
	}()
}

func (b *testbed) recordBegun(request, version string) {
	b.begunMu.Lock()
	defer b.begunMu.Unlock()
	b.begunRequest, b.begunVersion = request, version
	b.begunVersions[request] = version
	if b.onBegun != nil {
		b.onBegun()
	}
}

// begunBy returns the stream that was last begun, and by which version.
func (b *testbed) begunBy() (request, version string) {
	b.begunMu.Lock()
	defer b.begunMu.Unlock()
	return b.begunRequest, b.begunVersion
}

// response is the response that a client got.
type response struct {
	status int
	header http.Header
	body   string
	// complete is set if the body was read to its end without an error.
	complete bool
}

// send sends a request and returns its id and the response.
func (b *testbed) send(ctx context.Context, body string, header map[string]string) (id string, a response) {
	b.t.Helper()
	b.seq++
	id = fmt.Sprintf("q%d", b.seq)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/p/x%2Fy?z=1", strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return id, response{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return id, response{status: resp.StatusCode, header: resp.Header, body: string(data), complete: err == nil}
}

// runs returns the runs of a request at all replicas.
func (b *testbed) runs(id string) []standin.ReplicaRun {
	var out []standin.ReplicaRun
	for _, r := range b.replicas {
		for _, run := range r.Runs() {
			if run.Request == id {
				out = append(out, run)
			}
		}
	}
	return out
}

var (
	idempotent      = route.Route{Kind: route.Idempotent, MaxAttempts: 2, Timeout: testTimeout}
	atMostOnce      = route.Route{Kind: route.AtMostOnce, MaxAttempts: 2, Timeout: testTimeout}
	resumable       = route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 2, Timeout: testTimeout}
	singleRunStream = route.Route{Kind: route.Streaming, MaxAttempts: 1, Timeout: testTimeout}
)
