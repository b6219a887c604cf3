package slots

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/ring"
)

// Errors of a session that could not be opened, compared as values with errors.Is;
// each is an errSessionNotOpened too.
var (
	errSessionNotOpened = errors.New("session with the scheduler not opened")
	// errTimeout means that the host did not answer in time: it may be cut off by a
	// network partition.
	errTimeout = errors.Wrap(errSessionNotOpened, "no answer")
	// errStaleRecord means that another process than the one of the host's record runs at
	// its address.
	errStaleRecord = errors.Wrap(errSessionNotOpened, "the host has another token than its record")
)

// remoteLink is a session with the scheduler on another host.
type remoteLink struct {
	host string
	// key is the incarnationKey of the host that the session was opened with.
	key string
	// ctx ends with the session.
	ctx    context.Context
	outbox *ring.Ring[HostMessage]
	cancel context.CancelFunc
	// lastReceived is when the last message arrived, in nanoseconds by package clock.
	lastReceived atomic.Int64
	deliver      Sink
	stamps       stamper
	// onLost is called at most once, if the session ends without a call of close.
	onLost  func(*remoteLink, sessionEnd)
	endOnce sync.Once
}

// openRemote opens a session, which ends at the latest when ctx is done.
func openRemote(ctx context.Context, httpClient *http.Client, h peers.Host, deliver Sink, onLost func(*remoteLink, sessionEnd)) (*remoteLink, error) {
	ctx, cancel := context.WithCancel(ctx)
	l := &remoteLink{host: h.Name, key: incarnationKey(&h), ctx: ctx, outbox: ring.New[HostMessage](outboxCapacity), cancel: cancel, deliver: deliver, stamps: newStamper(), onLost: onLost}
	body, pipe := io.Pipe()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.Address+SessionPath, body)
	if err != nil {
		cancel()
		return nil, errors.Wrap(errSessionNotOpened, err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+h.Token)
	// Without this the transport's write loop would block on the body after ctx is done,
	// and Do on that loop.
	context.AfterFunc(ctx, func() { _ = body.CloseWithError(ctx.Err()) })
	connectTimer := time.AfterFunc(connectTimeout, cancel)
	resp, err := httpClient.Do(req)
	inTime := connectTimer.Stop()
	if err == nil && inTime && resp.StatusCode == http.StatusOK {
		l.markReceived()
		go l.write(ctx, pipe)
		go l.read(resp.Body)
		go l.watch(ctx)
		return l, nil
	}
	cancel()
	if err == nil {
		_ = resp.Body.Close()
	}
	switch {
	case !inTime:
		return nil, errTimeout
	case err != nil:
		return nil, errors.Wrap(errSessionNotOpened, err.Error())
	case resp.StatusCode == http.StatusUnauthorized:
		return nil, errStaleRecord
	default:
		return nil, errors.Wrapf(errSessionNotOpened, "status %d", resp.StatusCode)
	}
}

func (l *remoteLink) send(m HostMessage) {
	if m.hasAges() {
		m.Stamp = l.stamps.now()
	}
	if l.outbox.Offer(m) != nil {
		l.end("outbox full, message not sent", timedOut)
	}
}

func (l *remoteLink) close(string) {
	l.endOnce.Do(l.cancel)
}

func (l *remoteLink) scheduler() string {
	return l.host
}

func (l *remoteLink) incarnation() string {
	return l.key
}

// end closes a session that failed, and reports it to onLost.
func (l *remoteLink) end(reason string, cause absenceCause) {
	l.endOnce.Do(func() {
		l.cancel()
		// In a goroutine, as the caller may hold the client's lock, which onLost takes.
		go l.onLost(l, sessionEnd{reason: reason, cause: cause, lastSeen: clock.Now()})
	})
}

func (l *remoteLink) markReceived() {
	l.lastReceived.Store(clock.Now().UnixNano())
}

// write sends the messages of the outbox, and heartbeats when there are none.
func (l *remoteLink) write(ctx context.Context, pipe *io.PipeWriter) {
	heartbeat := time.NewTicker(hostHeartbeat)
	defer heartbeat.Stop()
	out := bufio.NewWriter(pipe)
	encoder := json.NewEncoder(out)
	for {
		var m HostMessage
		select {
		case <-ctx.Done():
			_ = pipe.CloseWithError(ctx.Err())
			return
		case m = <-l.outbox.C():
		case <-heartbeat.C:
		}
		err := encoder.Encode(m)
		for n := l.outbox.Len(); n > 0 && err == nil; n-- {
			err = encoder.Encode(<-l.outbox.C())
		}
		if err == nil {
			err = out.Flush()
		}
		if err != nil {
			l.end(err.Error(), closed)
		}
	}
}

// read delivers the messages of the scheduler until the session ends.
func (l *remoteLink) read(body io.ReadCloser) {
	defer func() { _ = body.Close() }()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxMessageBytes)
	var late delay
	for lines.Scan() {
		l.markReceived()
		var m SchedulerMessage
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			l.end("malformed message: "+err.Error(), closed)
			return
		}
		m.addDelay(late.of(clock.Now(), m.Stamp))
		if m.Departing != "" {
			// A late announcement must not be taken for one of the host's next incarnation.
			m.Departing = l.key
		}
		l.deliver(m)
	}
	reason := "closed by the scheduler"
	if err := lines.Err(); err != nil {
		reason = err.Error()
	}
	l.end(reason, closed)
}

// watch ends the session if nothing arrives from the scheduler for schedulerTimeout.
func (l *remoteLink) watch(ctx context.Context) {
	tick := time.NewTicker(schedulerHeartbeat)
	defer tick.Stop()
	var idle silence
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if length := idle.tick(clock.Now(), time.Unix(0, l.lastReceived.Load())); length > schedulerTimeout {
				l.end("silent for "+length.String(), timedOut)
				return
			}
		}
	}
}
