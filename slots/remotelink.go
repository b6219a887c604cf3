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
// each is an errSession too.
var (
	errSession = errors.New("session with the scheduler not opened")
	// errUnanswered means that the host said nothing: it may be behind a cut.
	errUnanswered = errors.Wrap(errSession, "no answer")
	// errOutdated means that another process is at the host's address.
	errOutdated = errors.Wrap(errSession, "the host has another token than its record")
)

// remoteLink is a session with another host.
type remoteLink struct {
	host string
	// ctx ends with the session.
	ctx     context.Context
	outbox  *ring.Ring[Up]
	cancel  context.CancelFunc
	heard   atomic.Int64
	deliver Sink
	// lost is called once, when the session ends by itself.
	lost   func(*remoteLink, ending)
	ending sync.Once
}

// openRemote opens a session; ctx bounds its whole life.
func openRemote(ctx context.Context, client *http.Client, h peers.Host, deliver Sink, lost func(*remoteLink, ending)) (*remoteLink, error) {
	ctx, cancel := context.WithCancel(ctx)
	l := &remoteLink{host: h.Name, ctx: ctx, outbox: ring.New[Up](outboxRing), cancel: cancel, deliver: deliver, lost: lost}
	body, pipe := io.Pipe()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.Address+SessionPath, body)
	if err != nil {
		cancel()
		return nil, errors.Wrap(errSession, err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+h.Token)
	// The transport waits for its writer, which waits for the body.
	context.AfterFunc(ctx, func() { _ = body.CloseWithError(ctx.Err()) })
	giveUp := time.AfterFunc(connectTimeout, cancel)
	resp, err := client.Do(req)
	inTime := giveUp.Stop()
	if err == nil && inTime && resp.StatusCode == http.StatusOK {
		l.hear()
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
		return nil, errUnanswered
	case err != nil:
		return nil, errors.Wrap(errSession, err.Error())
	case resp.StatusCode == http.StatusUnauthorized:
		return nil, errOutdated
	default:
		return nil, errors.Wrapf(errSession, "status %d", resp.StatusCode)
	}
}

func (l *remoteLink) send(m Up) {
	if l.outbox.Offer(m) != nil {
		l.end("outbox is full", silent)
	}
}

func (l *remoteLink) close(string) {
	l.ending.Do(l.cancel)
}

func (l *remoteLink) scheduler() string {
	return l.host
}

// end closes a session that broke off.
func (l *remoteLink) end(reason string, how departure) {
	l.ending.Do(func() {
		l.cancel()
		// The caller may hold the client's lock.
		go l.lost(l, ending{reason: reason, how: how, heard: clock.Now()})
	})
}

func (l *remoteLink) hear() {
	l.heard.Store(time.Now().UnixNano())
}

// write sends what is in the outbox, and signs of life between.
func (l *remoteLink) write(ctx context.Context, pipe *io.PipeWriter) {
	ping := time.NewTicker(upPing)
	defer ping.Stop()
	out := bufio.NewWriter(pipe)
	encoder := json.NewEncoder(out)
	for {
		var m Up
		select {
		case <-ctx.Done():
			_ = pipe.CloseWithError(ctx.Err())
			return
		case m = <-l.outbox.C():
		case <-ping.C:
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

// read hands the scheduler's messages over.
func (l *remoteLink) read(body io.ReadCloser) {
	defer func() { _ = body.Close() }()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, lineBytes)
	for lines.Scan() {
		l.hear()
		var m Down
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			l.end("message can't be read: "+err.Error(), closed)
			return
		}
		l.deliver(m)
	}
	reason := "closed by the scheduler"
	if err := lines.Err(); err != nil {
		reason = err.Error()
	}
	l.end(reason, closed)
}

// watch ends the session when the scheduler falls silent.
func (l *remoteLink) watch(ctx context.Context) {
	tick := time.NewTicker(downPing)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if silence := time.Since(time.Unix(0, l.heard.Load())); silence > schedulerSilence {
				l.end("silent for "+silence.String(), silent)
				return
			}
		}
	}
}
