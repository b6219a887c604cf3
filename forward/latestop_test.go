package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/startup"
)

// TestRequestThatOutlastsTheHostIsRefused sends requests that would last longer than a host has
// that shuts down.
func TestRequestThatOutlastsTheHostIsRefused(t *testing.T) {
	t.Parallel()
	for name, one := range map[string]struct {
		route    route.Route
		deadline string
		// known is set if requests of the route ended before, longest is how long one took.
		known   bool
		longest time.Duration
		status  int
	}{
		"once":                         {route: atMostOnce, deadline: "15000", status: http.StatusServiceUnavailable},
		"once, brief":                  {route: atMostOnce, deadline: "15000", known: true, longest: 10 * time.Millisecond, status: http.StatusOK},
		"once, long":                   {route: atMostOnce, deadline: "15000", known: true, longest: 4 * time.Second, status: http.StatusServiceUnavailable},
		"once, ends by its deadline":   {route: atMostOnce, deadline: "3000", status: http.StatusOK},
		"stream, once":                 {route: singleRunStream, deadline: "15000", status: http.StatusServiceUnavailable},
		"idempotent, nothing is known": {route: idempotent, deadline: "15000", status: http.StatusOK},
		"idempotent, long":             {route: idempotent, deadline: "15000", known: true, longest: 4 * time.Second, status: http.StatusServiceUnavailable},
	} {
		b := newTestbed(t, one.route, 1, 3)
		for range durationsKept {
			if one.known {
				b.forwarder.durations.add(durationsKey{route: "r", service: "s"}, duration{ended: time.Now(), total: one.longest, run: one.longest})
			}
		}
		b.shutdown.Store(&Shutdown{Closes: time.Now().Add(testTimeout), Ends: time.Now().Add(5 * time.Second)})
		id, a := b.send(context.Background(), "body", map[string]string{"X-Deadline-Ms": one.deadline})
		if refused := a.status == http.StatusServiceUnavailable; a.status != one.status || !a.complete || (a.header.Get("Retry-After") != "") != refused || (len(b.runs(id)) == 0) != refused {
			t.Errorf("%s: status %d, complete %t, Retry-After %q, %d runs", name, a.status, a.complete, a.header.Get("Retry-After"), len(b.runs(id)))
		}
	}
}

// TestRequestPlacedTooLateIsNotPassedOn has a request wait for its place until it can't end any
// more. The place must be returned.
func TestRequestPlacedTooLateIsNotPassedOn(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, atMostOnce, 1, 0)
	b.placer.delay = 300 * time.Millisecond
	time.AfterFunc(100*time.Millisecond, func() {
		b.shutdown.Store(&Shutdown{Closes: time.Now().Add(testTimeout), Ends: time.Now().Add(time.Second)})
	})
	id, a := b.send(context.Background(), "body", nil)
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || len(b.runs(id)) > 0 {
		t.Errorf("status %d, Retry-After %q, %d runs", a.status, a.header.Get("Retry-After"), len(b.runs(id)))
	}
	if u := <-b.placer.released; u.Outcome != OutcomeAbandoned {
		t.Errorf("the place was returned as %s", u.Outcome)
	}
}

// TestStreamGoesOnWhileTheHostTakesNoMore breaks off a stream of a host that takes no more
// requests: it goes on at another endpoint.
func TestStreamGoesOnWhileTheHostTakesNoMore(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, resumable, 2, 9)
	b.replicas[0].SetFaults(standin.ReplicaFaults{CutAfter: 3})
	b.replicas[0].Pace, b.replicas[1].Pace = 50*time.Millisecond, 50*time.Millisecond
	time.AfterFunc(100*time.Millisecond, func() {
		b.shutdown.Store(&Shutdown{Closes: time.Now(), Ends: time.Now().Add(testTimeout / 2)})
	})
	id, a := b.send(context.Background(), "", nil)
	if want := expectedEvents(id, 1, 9); a.body != want || !a.complete {
		t.Errorf("complete %t, body %q", a.complete, a.body)
	}
}

// TestRefusalOfALargeBodyArrives sends large bodies to a host that takes no more requests. The
// client writes all of its body before it reads the response.
func TestRefusalOfALargeBodyArrives(t *testing.T) {
	t.Parallel()
	const size = 4 << 20
	for name, kind := range map[string]route.Route{"once": atMostOnce, "batch": {Kind: route.Batch}} {
		b := newTestbed(t, kind, 1, 0)
		b.shutdown.Store(&Shutdown{Closes: time.Now(), Ends: time.Now().Add(testTimeout)})
		c, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: large\r\nContent-Length: %d\r\n\r\n", size)
		if _, err := c.Write(make([]byte, size)); err != nil {
			t.Errorf("%s: the body can't be sent: %v", name, err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("%s: status %d, connection ends %t, error %v", name, resp.StatusCode, resp.Close, err)
		}
		_ = c.Close()
	}
}

// TestRefusalDoesNotWaitForTheBody sends half of a body to a host that takes no more requests.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, atMostOnce, 1, 0)
	b.shutdown.Store(&Shutdown{Closes: time.Now(), Ends: time.Now().Add(testTimeout)})
	c, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: half\r\nContent-Length: 100\r\n\r\nhalf")
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	answers := bufio.NewReader(c)
	resp, err := http.ReadResponse(answers, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("%v, %v", resp, err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil || resp.ContentLength < 0 {
		t.Errorf("the response ends with the connection: length %d, error %v", resp.ContentLength, err)
	}
	if _, err := answers.ReadByte(); err != io.EOF {
		t.Errorf("the connection goes on: %v", err)
	}
}

// TestBodyThatNeverComesEndsWithItsTime guards against clients that send a head and no body: they would
// hold the memory for both for as long as they like, and others would be refused for want of it.
func TestBodyThatNeverComesEndsWithItsTime(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, atMostOnce, 1, 0)
	c, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: never\r\nX-Deadline-Ms: 200\r\nContent-Length: 100\r\n\r\nhalf")
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	answers := bufio.NewReader(c)
	resp, err := http.ReadResponse(answers, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("%v, %v", resp, err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil || !resp.Close {
		t.Errorf("connection ends %t, error %v", resp.Close, err)
	}
	if _, err := answers.ReadByte(); err != io.EOF {
		t.Errorf("the connection goes on: %v", err)
	}
}

// TestRestOfARefusedBodyIsNoRequest refuses a request whose host began to shut down after its head
// was read. The client pauses inside the body for longer than it is discarded, and the rest looks
// like a request.
func TestRestOfARefusedBodyIsNoRequest(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, atMostOnce, 1, 0)
	gate := startup.NewGate()
	b.forwarder.opts.Started = gate
	rest := "POST /p/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: inside\r\nContent-Length: 0\r\n\r\n"
	c, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: outside\r\nContent-Length: %d\r\n\r\n1", 1+len(rest))
	for b.forwarder.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	// The request waits for the gate.
	time.Sleep(50 * time.Millisecond)
	b.shutdown.Store(&Shutdown{Closes: time.Now().Add(testTimeout), Ends: time.Now().Add(time.Second)})
	gate.Open()
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	answers := bufio.NewReader(c)
	resp, err := http.ReadResponse(answers, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Fatalf("%+v, %v", resp, err)
	}
	_, _ = io.ReadAll(resp.Body)
	time.Sleep(discardTime + 200*time.Millisecond)
	b.shutdown.Store(nil)
	_, _ = io.WriteString(c, rest)
	if answer, _ := io.ReadAll(answers); len(answer) > 0 || len(b.runs("inside")) > 0 {
		t.Errorf("the rest of the body was served: %q, %d runs", answer, len(b.runs("inside")))
	}
}
