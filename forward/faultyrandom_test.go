package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

const (
	// faultyEvents is the number of events of a whole stream, faultyStreams that of the streams of a
	// seed, faultyCallers that of those in flight.
	faultyEvents  = 6
	faultyStreams = 1500
	faultyCallers = 12
)

// faultyRuns are the runs at the endpoints of TestStreamsOfFaultyEndpoints.
type faultyRuns struct {
	last atomic.Int64
	mu   sync.Mutex
	// asked is the event behind which each run was asked, late what a connection still has to send.
	asked map[int64]int
	late  map[net.Conn]string
	// kept counts the runs on connections that carried others.
	kept atomic.Int64
}

// answer plays one run at an endpoint of a version, with a fault that is drawn.
func (f *faultyRuns) answer(c *net.TCPConn, req *http.Request, earlier int, version string) bool {
	id := req.Header.Get("X-Request-Id")
	after, _ := strconv.Atoi(req.Header.Get(cutLastEvent))
	run := f.last.Add(1)
	f.mu.Lock()
	f.asked[run] = after
	late := f.late[c]
	delete(f.late, c)
	f.mu.Unlock()
	if earlier > 0 {
		f.kept.Add(1)
	}
	_, _ = io.WriteString(c, late)
	lines := deadLines(version, id, route.Streaming)
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: %s %d %d\n\n", n, version, run, n) }
	body, first := "", after+1
	fault := rand.IntN(14)
	switch fault {
	case 0: // From the beginning, or one too early or late. Where a new stream begins is not known.
		if after > 0 {
			first = min([]int{1, after, after + 2}[rand.IntN(3)], faultyEvents)
		}
	case 1:
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Request-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
		return true
	case 2:
		_, _ = io.WriteString(c, rawhttp.FormNamed("chunks").Message(deadLines(version, "another", route.Streaming), event(first)).Bytes)
	}
	for n := first; n <= faultyEvents; n++ {
		if fault == 3 && n > 1 && n < faultyEvents && rand.IntN(3) == 0 {
			continue
		}
		if body += event(n); fault == 4 && rand.IntN(3) == 0 {
			body += event(n)
		}
	}
	if fault == 5 && body != "" {
		// Inside an event: behind one, the endpoint says that it was the last.
		body = body[:len(body)-1-rand.IntN(len("id: 6\ndata: v1 1 6"))]
	}
	form := []string{"chunks", "length", "open", "chunks and trailer"}[rand.IntN(4)]
	m := rawhttp.FormNamed(form).Message(lines, body)
	switch fault {
	case 6, 7, 8: // Cut, with a reset where the end could be that of a whole response.
		cut := rawhttp.Cut{At: rand.IntN(len(m.Bytes)), Packet: rand.IntN(len(m.Bytes)), Reset: m.Open() || rand.IntN(2) == 0}
		cut.Write(c, &m)
		return false
	case 9, 10: // A further answer, at once or as the next is due.
		further := rawhttp.FormNamed("chunks").Message(lines, strings.ReplaceAll(event(1), "\n\n", " extra\n\n")).Bytes
		if rand.IntN(2) == 0 {
			m.Bytes += further
		} else {
			f.mu.Lock()
			f.late[c] = further
			f.mu.Unlock()
		}
	case 11:
		_, _ = io.WriteString(c, "HTTP/1.1 500 Failed\r\n"+lines+"Content-Length: 0\r\n\r\n")
		return true
	}
	at := rand.IntN(len(m.Bytes))
	_, _ = io.WriteString(c, m.Bytes[:at])
	time.Sleep(time.Duration(rand.IntN(300)) * time.Microsecond)
	_, _ = io.WriteString(c, m.Bytes[at:])
	return !m.Open()
}

// check returns what is wrong with the events that a client got behind one, or "".
func (f *faultyRuns) check(body string, after int, whole bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, lastRun, lastVersion := after, int64(-1), ""
	for lines := bufio.NewScanner(strings.NewReader(body)); lines.Scan(); {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		version, run, n, rest := "", int64(0), 0, ""
		_, _ = fmt.Sscan(data, &version, &run, &n, &rest)
		switch {
		case rest != "":
			return "an event of another answer"
		case n != last+1:
			return fmt.Sprintf("event %d behind %d", n, last)
		case run != lastRun && f.asked[run] != last:
			return fmt.Sprintf("run %d was asked behind event %d, not %d", run, f.asked[run], last)
		case lastVersion != "" && version != lastVersion:
			return "two versions"
		}
		last, lastRun, lastVersion = n, run, version
	}
	if whole && last != faultyEvents {
		return fmt.Sprintf("complete behind event %d", last)
	}
	return ""
}

// TestStreamsOfFaultyEndpoints has endpoints of two versions break streams in ways that are drawn, on
// connections that are kept, and checks what clients get: no event is missing or comes twice, runs are
// joined where the next was asked, at one version, and no stream is complete before its last event.
// ORDER_STREAMS is the number of streams.
func TestStreamsOfFaultyEndpoints(t *testing.T) {
	streams := faultyStreams
	if n, err := strconv.Atoi(os.Getenv("ORDER_STREAMS")); err == nil {
		streams = n
	}
	b := newTestbed(t, route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 6, Timeout: testTimeout}, 0, 0)
	b.ignoreReleases()
	b.placer.mayRepeat = true
	f := &faultyRuns{asked: make(map[int64]int), late: make(map[net.Conn]string)}
	for i := range 4 {
		version := fmt.Sprint("v", i%2)
		e, err := rawhttp.Start(func(c *net.TCPConn, req *http.Request, earlier int) bool { return f.answer(c, req, earlier, version) })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { b.pool.CloseAllIdle(); e.Close() })
		b.placer.endpoints = append(b.placer.endpoints, &endpoint.Endpoint{ID: fmt.Sprint(i), Service: "s", Version: version, Address: e.Address(), Slots: 8})
	}
	b.placer.draws = true
	transport := &http.Transport{MaxIdleConnsPerHost: faultyCallers}
	t.Cleanup(transport.CloseIdleConnections)
	client := &http.Client{Transport: transport}
	var next, whole atomic.Int64
	var group sync.WaitGroup
	for range faultyCallers {
		group.Go(func() {
			for n := next.Add(1); n <= int64(streams); n = next.Add(1) {
				after := max(0, rand.IntN(2*faultyEvents)-faultyEvents)
				body, complete := f.call(t, client, b.server.URL, fmt.Sprint("s", n), after)
				if problem := f.check(body, after, complete); problem != "" {
					t.Errorf("behind event %d: %s: %q", after, problem, body)
				}
				if complete {
					whole.Add(1)
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d of %d streams whole, %d runs, %d on connections that carried others", whole.Load(), streams, f.last.Load(), f.kept.Load())
}

// call asks for a stream behind an event, and returns what came and whether it was complete.
func (f *faultyRuns) call(t *testing.T, client *http.Client, url, id string, after int) (body string, complete bool) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/p/x", strings.NewReader("q"))
	if err != nil {
		t.Error(err)
		return "", false
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	if after > 0 {
		req.Header.Set(cutLastEvent, strconv.Itoa(after))
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err == nil && resp.StatusCode == http.StatusOK
}
