package gossip

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Path is where a host answers exchanges.
const Path = "/gossip"

// maxBodyBytes bounds a message on the wire.
const maxBodyBytes = 1 << 20

// ExchangerOptions are what an Exchanger is made of.
type ExchangerOptions struct {
	Store *Store
	// Peers returns the other hosts.
	Peers func() []Peer
	// Interval is the time between two rounds.
	Interval time.Duration
	// Timeout bounds one exchange.
	Timeout time.Duration
	Client  *http.Client
	// Secret is the bearer token of the system's own processes.
	Secret string
	// Rand draws the peers; the Exchanger alone uses it.
	Rand     *rand.Rand
	Logger   log.Logger
	Registry prometheus.Registerer
}

// Exchanger exchanges entries with peers. It is a suture service, and answers
// the exchanges that others start.
type Exchanger struct {
	opts    ExchangerOptions
	self    Peer
	metrics *metrics
	// incarnation is the one that was logged last.
	incarnation atomic.Int64
}

// NewExchanger returns an Exchanger.
func NewExchanger(opts ExchangerOptions) *Exchanger {
	x := &Exchanger{opts: opts, self: opts.Store.self(), metrics: newMetrics(opts.Registry)}
	x.incarnation.Store(opts.Store.Incarnation())
	return x
}

// Serve implements suture.Service.
func (x *Exchanger) Serve(ctx context.Context) error {
	ticker := time.NewTicker(x.opts.Interval)
	defer ticker.Stop()
	for {
		x.opts.Store.Tick(time.Now())
		x.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// String names the service to its supervisor.
func (x *Exchanger) String() string {
	return "gossip"
}

func (x *Exchanger) round(ctx context.Context) {
	var group sync.WaitGroup
	for _, peer := range Choose(x.self, x.opts.Peers(), x.opts.Rand) {
		group.Go(func() { x.exchange(ctx, peer) })
	}
	group.Wait()
}

func (x *Exchanger) exchange(ctx context.Context, peer Peer) {
	ctx, cancel := context.WithTimeout(ctx, x.opts.Timeout)
	defer cancel()
	request := x.opts.Store.Request(peer)
	answer, err := x.send(ctx, peer, &request)
	if err != nil {
		x.metrics.failures.WithLabelValues(string(distanceOf(x.self, peer))).Inc()
		_ = level.Debug(x.opts.Logger).Log("msg", "exchange failed", "peer", peer.Name, "err", err)
		return
	}
	x.metrics.news.Add(float64(x.opts.Store.Receive(answer)))
	x.logIncarnation(answer.From)
}

// logIncarnation logs that the message of a peer has raised the host's incarnation.
func (x *Exchanger) logIncarnation(peer Peer) {
	now := x.opts.Store.Incarnation()
	if before := x.incarnation.Swap(now); before != now {
		_ = level.Info(x.opts.Logger).Log("msg", "peer knows a later run of this host", "peer", peer.Name, "incarnation", now, "before", before)
	}
}

func (x *Exchanger) send(ctx context.Context, peer Peer, m *Message) (*Message, error) {
	body, err := Encode(m)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, peer.Address+Path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+x.opts.Secret)
	x.metrics.sent.WithLabelValues(string(distanceOf(x.self, peer))).Add(float64(len(body)))
	resp, err := x.opts.Client.Do(req)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnreachable, "status %d", resp.StatusCode)
	}
	return x.read(resp.Body, peer)
}

func (x *Exchanger) read(body io.Reader, peer Peer) (*Message, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	x.metrics.received.WithLabelValues(string(distanceOf(x.self, peer))).Add(float64(len(data)))
	return Decode(data)
}

// Handler answers the exchanges that peers start.
func (x *Exchanger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Path, x.answer)
	return mux
}

func (x *Exchanger) answer(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request, err := Decode(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := x.opts.Store.Answer(request)
	x.logIncarnation(request.From)
	body, err := Encode(&answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	d := string(distanceOf(x.self, request.From))
	x.metrics.received.WithLabelValues(d).Add(float64(len(data)))
	x.metrics.sent.WithLabelValues(d).Add(float64(len(body)))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}
