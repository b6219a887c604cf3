package peers

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

const (
	// HeartbeatInterval is the time between two records of a host.
	HeartbeatInterval = 2 * time.Second
	// writeTimeout bounds one write: the store answers in 6 ms, and in 60 times
	// that when it is slow.
	writeTimeout = time.Second
	// RecordTimeout is the time in which a host that lives and reaches the store has
	// written once more: a pause, a write, and the time until it is read.
	RecordTimeout = HeartbeatInterval + writeTimeout + 200*time.Millisecond
	// retryEvery is the pause after a write that failed.
	retryEvery = 250 * time.Millisecond
)

// Writer appends to the platform's store.
type Writer interface {
	Append(ctx context.Context, topic platform.Topic, records [][]byte) (int64, error)
}

// Registrar keeps the record of its host in the store. It is a suture service.
type Registrar struct {
	writer Writer
	logger log.Logger

	mu   sync.Mutex
	host Host
	// helps returns how many calls the host makes for stranded ones; nil if it makes none.
	helps func() int
	lost  bool
	wake  chan struct{}
}

// NewRegistrar returns a Registrar of a host.
func NewRegistrar(w Writer, h Host, logger log.Logger) *Registrar {
	h.Joined = -1
	return &Registrar{writer: w, host: h, logger: logger, wake: make(chan struct{}, 1)}
}

// Leave says in the record that the host is shutting down.
func (r *Registrar) Leave() {
	r.mu.Lock()
	r.host.Leaving = true
	r.mu.Unlock()
	r.wakeUp()
}

// wakeUp has the record written at once.
func (r *Registrar) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// SetStranded says in the record whether the host reaches no endpoint.
func (r *Registrar) SetStranded(stranded bool) {
	r.mu.Lock()
	r.host.Stranded = stranded
	r.mu.Unlock()
	r.wakeUp()
}

// ReportHelps sets the function that returns how many calls the host makes for stranded ones. It
// is called before Serve.
func (r *Registrar) ReportHelps(calls func() int) {
	r.helps = calls
}

// Remove takes the record away.
func (r *Registrar) Remove(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := r.writer.Append(ctx, platform.TopicHosts, [][]byte{platform.EncodeKeyed(r.host.Name, nil)})
	return err
}

// String names the service to its supervisor.
func (r *Registrar) String() string {
	return "registrar"
}

// Serve implements suture.Service.
func (r *Registrar) Serve(ctx context.Context) error {
	for {
		pause := HeartbeatInterval
		if err := r.beat(ctx); err != nil {
			pause = retryEvery
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-r.wake:
			t.Stop()
		case <-t.C:
		}
	}
}

// beat writes the record once. The first record that is written names no offset;
// later ones name that of the first.
func (r *Registrar) beat(ctx context.Context) error {
	r.mu.Lock()
	r.host.Beat++
	if r.helps != nil {
		r.host.Helps = r.helps()
	}
	host := r.host
	r.mu.Unlock()
	value, err := host.encode()
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	offset, err := r.writer.Append(call, platform.TopicHosts, [][]byte{platform.EncodeKeyed(host.Name, value)})
	if err != nil {
		r.noteFailure(ctx, err)
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.host.Joined < 0 {
		r.host.Joined = offset
	}
	if r.lost {
		r.lost = false
		_ = level.Info(r.logger).Log("event", "heartbeat_regained")
	}
	return nil
}

func (r *Registrar) noteFailure(ctx context.Context, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost || ctx.Err() != nil {
		return
	}
	r.lost = true
	_ = level.Warn(r.logger).Log("event", "heartbeat_lost", "err", errors.Cause(err))
}
