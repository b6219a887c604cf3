package slots

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/throttle"
)

// knownLimits are the rate limits that a host of these tests knows.
type knownLimits struct {
	mu    sync.Mutex
	table *throttle.Table
	// merged is how many notices came.
	merged int
}

func newKnownLimits() *knownLimits { return &knownLimits{table: throttle.NewTable()} }

func (l *knownLimits) Notices() []throttle.Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Notices(clock.Now())
}

func (l *knownLimits) Merge(notices []throttle.Notice) []throttle.Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []throttle.Notice
	for _, n := range notices {
		l.merged++
		if l.table.Merge(clock.Now(), n) {
			out = append(out, n)
		}
	}
	return out
}

func (l *knownLimits) name(i endpoint.Incarnation, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Name(clock.Now(), i, rate)
}

func (l *knownLimits) rate(i endpoint.Incarnation) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Rate(i)
}

func (l *knownLimits) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.merged
}

// holdingConn is a connection whose written bytes wait while it is held, as in the sockets of a process
// that stands still.
type holdingConn struct {
	net.Conn
	held *sync.Mutex
}

func (c *holdingConn) Write(p []byte) (int, error) {
	c.held.Lock()
	defer c.held.Unlock()
	return c.Conn.Write(p)
}

// holdableSession has a host open a session with a scheduler over a connection that can be held.
func holdableSession(t *testing.T, atScheduler *knownLimits) (host *Client, held *sync.Mutex) {
	t.Helper()
	o := originOptions("first", newKnownOrigins(), newFakeDirectory())
	o.Limits = atScheduler
	_, scheduler := NewClient(o)
	run(t, scheduler.Serve)
	first := serveSessions(t, "first", scheduler)
	o = originOptions("host", newKnownOrigins(), newFakeDirectory(first, peers.Host{Name: "host", Incarnation: "i"}))
	held = new(sync.Mutex)
	o.HTTP = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &holdingConn{Conn: c, held: held}, nil
	}}}
	host, local := NewClient(o)
	run(t, local.Serve)
	run(t, host.Serve)
	eventually(t, "session", func() bool { return host.Scheduler() == "first" })
	return host, held
}

// standstill is longer than the latency of notices for which a throttle.Table allows, and shorter than
// sessions last without a message.
const standstill = 300 * time.Millisecond

// TestNoticeThatLayInASocketIsAsOldAsItIs has the end of a rate limit lie in the sockets of a scheduler that
// stands still, while a later answer names a limit: the later answer counts.
func TestNoticeThatLayInASocketIsAsOldAsItIs(t *testing.T) {
	limited := endpoint.Incarnation{ID: "limited", Started: time.UnixMilli(7)}
	known := newKnownLimits()
	host, held := holdableSession(t, known)
	host.ReportLimits([]throttle.Notice{{Endpoint: endpoint.Incarnation{ID: "other"}, Rate: 1}})
	eventually(t, "notices arrive", func() bool { return known.count() == 1 })
	known.name(limited, 5)
	time.Sleep(standstill)
	held.Lock()
	host.ReportLimits([]throttle.Notice{{Endpoint: limited}})
	known.name(limited, 3)
	time.Sleep(standstill)
	held.Unlock()
	eventually(t, "the notice arrives", func() bool { return known.count() == 2 })
	if rate := known.rate(limited); rate != 3 {
		t.Errorf("the limit is %v, want 3 by the later answer", rate)
	}
}

// TestBroadcastThatLayInASocketIsAsOldAsItIs has a host read messages of its scheduler late.
func TestBroadcastThatLayInASocketIsAsOldAsItIs(t *testing.T) {
	body, pipe := io.Pipe()
	messages := make(chan SchedulerMessage, 4)
	l := &remoteLink{cancel: func() {}, deliver: func(m SchedulerMessage) { messages <- m }, onLost: func(*remoteLink, sessionEnd) {}}
	go l.read(body)
	write := func(m SchedulerMessage) SchedulerMessage {
		t.Helper()
		if err := json.NewEncoder(pipe).Encode(m); err != nil {
			t.Fatal(err)
		}
		return <-messages
	}
	conviction := blame.Conviction{Keys: blame.NewCombination("request:r"), Left: time.Minute}
	sent := SchedulerMessage{Stamp: time.Second, Broadcast: &Broadcast{Convictions: []blame.Conviction{conviction}}}
	if m := write(sent); m.Broadcast.Convictions[0].Left != time.Minute {
		t.Errorf("the first message seems to be on its way for %s", time.Minute-m.Broadcast.Convictions[0].Left)
	}
	time.Sleep(standstill)
	sent.Stamp++
	if m := write(sent); m.Broadcast.Convictions[0].Left > time.Minute-standstill+time.Millisecond {
		t.Errorf("a conviction with a minute left has %s, %s later", m.Broadcast.Convictions[0].Left, standstill)
	}
	if m := write(SchedulerMessage{Stamp: sent.Stamp, Limits: []throttle.Notice{{Rate: 1}}}); m.Limits[0].Age < standstill-time.Millisecond {
		t.Errorf("a notice of %s ago has the age %s", standstill, m.Limits[0].Age)
	}
	if m := write(SchedulerMessage{Limits: []throttle.Notice{{Rate: 1}}}); m.Limits[0].Age != 0 {
		t.Errorf("a notice of an older build has the age %s", m.Limits[0].Age)
	}
	_ = pipe.Close()
}

// TestClocksThatDriftApartAreNoDelay replays a session of a day between machines whose clocks run at
// different speeds: only a message that is late has a delay.
func TestClocksThatDriftApartAreNoDelay(t *testing.T) {
	for _, speed := range []float64{1 - 1e-4, 1, 1 + 1e-4} {
		var late delay
		begin := time.Unix(1000, 0)
		stamp := func(at time.Duration) time.Duration { return 1 + time.Duration(speed*float64(at)) }
		for at := time.Duration(0); at < 24*time.Hour; at += 7 * time.Second {
			if d := late.of(begin.Add(at), stamp(at)); d != 0 {
				t.Fatalf("speed %v: a message after %s seems to be late by %s", speed, at, d)
			}
		}
		const lateBy = 2 * time.Second
		if d := late.of(begin.Add(24*time.Hour+lateBy), stamp(24*time.Hour)); d < lateBy-10*time.Millisecond || d > lateBy+10*time.Millisecond {
			t.Errorf("speed %v: a message that is late by %s seems to be by %s", speed, lateBy, d)
		}
	}
}
