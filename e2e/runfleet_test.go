package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

const (
	// runHosts and runEngines are the numbers of hosts and engines of a run fleet, runEvents the length
	// of its streams.
	runHosts   = 3
	runEngines = 6
	runEvents  = 20
	// runTries is how often a caller attempts a stream that is refused, runPause the time between.
	runTries = 20
	runPause = 100 * time.Millisecond
)

// runFleet is a fleet whose engines, of two software versions by turns, name in each event the run that
// sent it, and keep the connections of their streams open.
type runFleet struct {
	*routedFleet
	// mu guards the engines that are added later, and versions, by their names.
	mu       sync.Mutex
	versions map[string]string
}

// newRunFleet returns one. Two engines, one of each version, have the first pace, and so on.
func newRunFleet(t *testing.T, paces ...time.Duration) *runFleet {
	t.Helper()
	f := &runFleet{routedFleet: newRoutedFleet(t, runHosts), versions: make(map[string]string)}
	for _, r := range f.engines {
		f.store.Put(platform.TopicEndpoints.Name, r.ID, nil)
	}
	f.engines = nil
	for i := range runEngines {
		name := fmt.Sprintf("run-engine-%d", i)
		r, err := standin.StartReplica(name, runEvents, func(r *standin.Replica) {
			r.NameRuns, r.KeepStreams, r.Pace, r.Born = true, true, paces[i/2%len(paces)], 1
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		f.engines = append(f.engines, r)
		f.versions[name] = versionOf(i)
		f.listVersion(r, versionOf(i))
	}
	for i, g := range f.gateways {
		eventually(t, g.name+" serves", func() bool {
			return g.send(http.MethodPost, "/stream/x", fmt.Sprint("serves-", i, "-", time.Now().UnixNano()), nil).status == http.StatusOK
		})
	}
	return f
}

// engine returns the engine of a name and its version, or nil.
func (f *runFleet) engine(name string) (*standin.Replica, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.engines {
		if r.RunName() == name {
			return r, f.versions[name]
		}
	}
	return nil, ""
}

// runsOf returns the runs of a request at all engines.
func (f *runFleet) runsOf(id string) (out []standin.ReplicaRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.engines {
		for _, run := range r.Runs() {
			if run.Request == id {
				out = append(out, run)
			}
		}
	}
	return out
}

// disorder says what breaks the order in the events that a caller got, or nothing: none is missing or
// comes twice, each run goes on behind the event that it was asked with and at the version that began, and
// what ended as complete is whole.
func (f *runFleet) disorder(events []runEvent, ended bool) string {
	if ended && len(events) != runEvents {
		return fmt.Sprintf("complete after %d of %d events", len(events), runEvents)
	}
	first := ""
	for i, e := range events {
		r, version := f.engine(e.replica)
		if first == "" {
			first = version
		}
		if r == nil || e.run >= len(r.Runs()) {
			return fmt.Sprintf("event %d is of no run: %+v", i+1, e)
		}
		begins := i == 0 || events[i-1].replica != e.replica || events[i-1].run != e.run
		switch after := r.Runs()[e.run].After; {
		case e.number != i+1:
			return fmt.Sprintf("event %d has the number %d", i+1, e.number)
		case begins && after != i:
			return fmt.Sprintf("a run goes on behind event %d and was asked behind %d", i, after)
		case version != first:
			return fmt.Sprintf("event %d is of %s, the first of %s", i+1, version, first)
		}
	}
	return ""
}

// runStream is a stream that a caller reads, over one attempt after the other until one is not refused.
type runStream struct {
	leave  context.CancelFunc
	closed chan struct{}

	mu sync.Mutex
	// id is that of the attempt.
	id     string
	events []runEvent
	// odd is what is no event of the stream; ended tells that it ended as complete.
	odd   string
	ended bool
	// refused counts the attempts that were.
	refused int
}

// openRun opens a stream at a host, or takes one up behind an event.
func (f *runFleet) openRun(g *gateway, id, resumes string, after int) *runStream {
	ctx, leave := context.WithTimeout(context.Background(), patience)
	s := &runStream{id: id, leave: leave, closed: make(chan struct{})}
	f.t.Cleanup(leave)
	go func() {
		defer close(s.closed)
		for try := 1; s.read(ctx, g, resumes, after) == http.StatusServiceUnavailable && try < runTries; try++ {
			time.Sleep(runPause)
			s.mu.Lock()
			s.id = fmt.Sprint(id, "-", try)
			s.refused = try
			s.mu.Unlock()
		}
	}()
	return s
}

// read makes one attempt and returns its status, or zero.
func (s *runStream) read(ctx context.Context, g *gateway, resumes string, after int) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.callers+"/stream/x", nil)
	if err != nil {
		return 0
	}
	req.Host = routedHost
	req.Header.Set("X-Request-Id", s.id)
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
		req.Header.Set("Last-Event-Id", strconv.Itoa(after))
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode
	}
	blocks := bufio.NewScanner(resp.Body)
	blocks.Split(splitBlocks)
	for blocks.Scan() {
		s.add(blocks.Text())
	}
	s.mu.Lock()
	s.ended = blocks.Err() == nil
	s.mu.Unlock()
	return resp.StatusCode
}

// splitBlocks splits a stream into its whole events.
func splitBlocks(data []byte, atEOF bool) (int, []byte, error) {
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		return i + 2, data[:i], nil
	}
	if atEOF && len(data) > 0 {
		return len(data), data, bufio.ErrFinalToken
	}
	return 0, nil, nil
}

func (s *runStream) add(block string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, data, found := strings.Cut(strings.TrimPrefix(block, "id: "), "\ndata: ")
	e, of, ok := parseRunEvent(data)
	if !found || !ok || of != s.id || strconv.Itoa(e.number) != id {
		s.odd = block
		return
	}
	s.events = append(s.events, e)
}

// soFar returns what arrived so far.
func (s *runStream) soFar() (events []runEvent, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]runEvent(nil), s.events...), s.ended
}

// awaitEvents waits until so many events have arrived or the stream is over, and returns them.
func (s *runStream) awaitEvents(n int) []runEvent {
	for {
		events, _ := s.soFar()
		if len(events) >= n {
			return events
		}
		select {
		case <-s.closed:
			events, _ = s.soFar()
			return events
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// lotReader reads batch jobs at all hosts, over and over, and compares what it shows with what was shown before
// anywhere.
type lotReader struct {
	*runFleet
	// lotsMu guards what follows.
	lotsMu sync.Mutex
	// items are the sizes of the jobs, results what their positions held as they were read first.
	items   map[string]int
	results map[string][]string
}

func newLotReader(f *runFleet) *lotReader {
	return &lotReader{runFleet: f, items: make(map[string]int), results: make(map[string][]string)}
}

// submit hands a job in, at one host after the other until one accepts it.
func (l *lotReader) submit(first int, id string, items int) {
	l.t.Helper()
	at := first
	eventually(l.t, "job "+id+" accepted", func() bool {
		g := l.gateways[at%len(l.gateways)]
		at++
		return g.sendFor(3*time.Second, http.MethodPost, "/lots-in/"+id, id, job(id, items), nil).status == http.StatusAccepted
	})
	l.lotsMu.Lock()
	defer l.lotsMu.Unlock()
	l.items[id] = items
}

// known returns the jobs that were accepted.
func (l *lotReader) known() []string {
	l.lotsMu.Lock()
	defer l.lotsMu.Unlock()
	out := make([]string, 0, len(l.items))
	for id := range l.items {
		out = append(out, id)
	}
	return out
}

// follow reads every job at every host until stop is closed, from the beginning and behind what was read.
func (l *lotReader) follow(stop <-chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	for _, g := range l.gateways {
		group.Go(func() {
			for {
				for _, id := range l.known() {
					l.lotsMu.Lock()
					behind := len(l.results[id])
					l.lotsMu.Unlock()
					l.readAt(g, id, 0)
					l.readAt(g, id, behind)
				}
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
			}
		})
	}
	return &group
}

// readAt reads a job once, checks what it shows, and returns the number of results.
func (l *lotReader) readAt(g *gateway, id string, after int) int {
	answer := g.sendFor(2*time.Second, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", id, after), "", nil, nil)
	if answer.err != nil || answer.status == http.StatusServiceUnavailable {
		return 0
	}
	var shown lot
	err := json.Unmarshal(answer.body, &shown)
	l.lotsMu.Lock()
	defer l.lotsMu.Unlock()
	if answer.status != http.StatusOK || err != nil || shown.Total != l.items[id] || shown.Next != after+len(shown.Results) {
		l.t.Errorf("job %s at %s after %d: status %d, error %v, total %d of %d, next %d behind %d results",
			id, g.name, after, answer.status, err, shown.Total, l.items[id], shown.Next, len(shown.Results))
		return 0
	}
	for i, result := range shown.Results {
		at, now := after+i, result.ID+" "+result.State+" "+result.Output
		if at < len(l.results[id]) {
			if before := l.results[id][at]; before != now {
				l.t.Errorf("job %s at %s: position %d holds %.60q and held %.60q", id, g.name, at, now, before)
			}
			continue
		}
		if at > len(l.results[id]) {
			continue // Others have read this far meanwhile, and it is read again.
		}
		for _, before := range l.results[id] {
			if strings.HasPrefix(before, result.ID+" ") {
				l.t.Errorf("job %s at %s: item %s stands at two positions", id, g.name, result.ID)
			}
		}
		l.results[id] = append(l.results[id], now)
		if result.State != "done" {
			l.t.Errorf("job %s at %s: %+v", id, g.name, result)
		} else if reason := l.textDisorder(result.ID, result.Output); reason != "" {
			l.t.Errorf("job %s at %s, item %s: %s: %.300q", id, g.name, result.ID, reason, result.Output)
		}
	}
	return len(shown.Results)
}

// textDisorder says what breaks the order in the text of an item, or nothing.
func (f *runFleet) textDisorder(item, text string) string {
	var events []runEvent
	for line := range strings.SplitSeq(text, "\n") {
		e, of, ok := parseRunEvent(line)
		if !ok || of != item {
			return fmt.Sprintf("%q is no event of it", line)
		}
		events = append(events, e)
	}
	return f.disorder(events, true)
}

// awaitAll waits until every host shows every item of every job.
func (l *lotReader) awaitAll() {
	l.t.Helper()
	for _, id := range l.known() {
		for _, g := range l.gateways {
			eventually(l.t, "results of "+id+" at "+g.name, func() bool { return l.readAt(g, id, 0) == l.items[id] })
		}
	}
}
