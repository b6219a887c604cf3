package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/connend"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

const (
	// cutPlainBody is the body of the plain responses that are cut, cutEvents the number of
	// events of the streams.
	cutPlainBody = "the whole body"
	cutEvents    = 3
	// cutTimeout bounds all requests of one kind.
	cutTimeout = 2 * time.Minute
	// cutLastEvent is the header by which a stream is resumed.
	cutLastEvent = "Last-Event-Id"
)

// Roles of an endpoint: it cuts its response, sends it whole, sends the first event of a stream only,
// or nothing. The slow ones do so once a hedge was sent.
const (
	roleCuts      = "cuts"
	roleWhole     = "whole"
	roleBreaks    = "breaks"
	roleSilent    = "silent"
	roleSlowCuts  = "slow, cuts"
	roleSlowWhole = "slow, whole"
)

// cutKind is a kind of request whose response is cut.
type cutKind struct {
	name  string
	route route.Route
	// roles of the endpoints, in the order in which they are asked.
	roles []string
	// lastEvent is the event behind which the client asks for the stream.
	lastEvent int
	// cutAfter is the event behind which the endpoint that cuts is asked for the stream.
	cutAfter int
	// served is set if requests are to be served whole whatever the cut.
	served bool
	// replacesNone is set if attempts that are overdue are not given up for others.
	replacesNone bool
}

func cutKinds() []cutKind {
	return []cutKind{
		{name: "idempotent", route: idempotent, roles: []string{roleCuts, roleWhole}, served: true},
		{name: "at most once", route: atMostOnce, roles: []string{roleCuts, roleWhole}},
		{name: "single stream", route: singleRunStream, roles: []string{roleCuts, roleWhole}},
		{name: "resumable stream", route: resumable, roles: []string{roleCuts, roleWhole}, served: true},
		{name: "resumed stream", route: resumable, roles: []string{roleBreaks, roleCuts}, cutAfter: 1},
		{name: "stream resumed by client", route: resumable, roles: []string{roleCuts, roleWhole}, lastEvent: 1, cutAfter: 1, served: true},
	}
}

// streams reports whether the responses are streams.
func (k *cutKind) streams() bool { return k.route.Kind == route.Streaming }

// events returns the events of a stream behind one of them.
func events(after int) string {
	out := ""
	for n := after + 1; n <= cutEvents; n++ {
		out += fmt.Sprintf("id: %d\ndata: %c\n\n", n, 'a'+n)
	}
	return out
}

// lines returns the header lines of the response of an endpoint to a request.
func (k *cutKind) lines(endpointID, request string) string {
	lines := fmt.Sprintf("X-Request-Id: %s\r\nX-Server-Stamp: %s\r\n", request, standin.StampOf(endpointID, request))
	if k.streams() {
		lines += "Content-Type: text/event-stream\r\n"
	}
	return lines
}

// body returns the body of a whole response that goes on behind an event.
func (k *cutKind) body(after int) string {
	if k.streams() {
		return events(after)
	}
	return cutPlainBody
}

// cases returns the cuts of the endpoint that cuts: an end at each byte, and of responses without a
// length a reset at each byte from the end of the head on. The tests of package upstream have the
// others; heads of streams are read as those of plain responses are.
func (k *cutKind) cases() []rawhttp.CutCase {
	var out []rawhttp.CutCase
	for _, c := range rawhttp.CutCases(k.lines("e0", "q00000"), k.body(k.cutAfter)) {
		inHead := c.At < c.Message.Head()-1
		switch {
		case c.Hasty || c.Packet > 0:
		case c.Reset && (inHead || !c.Message.Open()):
		case inHead && k.streams() && (k.cutAfter > 0 || !streamHeads[c.Form]):
		default:
			out = append(out, c)
		}
	}
	return out
}

// streamHeads are the forms whose heads are cut at each byte for streams too.
var streamHeads = map[string]bool{"length": true, "chunks": true, "open": true, "chunks, behind informational": true}

// cutBed is a testbed whose endpoints cut their responses as requests say.
type cutBed struct {
	*testbed
	kind   *cutKind
	client *http.Client

	mu   sync.Mutex
	runs map[string][]string
}

func newCutBed(t *testing.T, kind *cutKind) *cutBed {
	t.Helper()
	b := &cutBed{testbed: newTestbed(t, kind.route, 0, 0), kind: kind, runs: make(map[string][]string)}
	b.ignoreReleases()
	b.placer.held = make(map[string]bool)
	for i, role := range kind.roles {
		id := fmt.Sprint("e", i)
		e, err := rawhttp.Start(func(c *net.TCPConn, req *http.Request, _ int) bool { return b.answer(c, req, id, role) })
		if err != nil {
			t.Fatal(err)
		}
		// Connections that are kept end with the testbed's pool.
		t.Cleanup(func() { b.pool.CloseAllIdle(); e.Close() })
		b.placer.endpoints = append(b.placer.endpoints, &endpoint.Endpoint{ID: id, Service: "s", Address: e.Address(), Slots: 8})
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	b.client = &http.Client{Transport: transport}
	return b
}

// answer answers a request at an endpoint.
func (b *cutBed) answer(c *net.TCPConn, req *http.Request, id, role string) bool {
	request := req.Header.Get("X-Request-Id")
	b.mu.Lock()
	b.runs[request] = append(b.runs[request], id)
	b.mu.Unlock()
	cut, err := rawhttp.CutOf(req)
	if err != nil || cut == nil {
		b.t.Errorf("cut %v, error %v", cut, err)
		return false
	}
	switch role {
	case roleSilent:
		// Until the caller gives up.
		_, _ = c.Read(make([]byte, 1))
		return false
	case roleSlowCuts, roleSlowWhole:
		time.Sleep(slowResponse)
	}
	after, _ := strconv.Atoi(req.Header.Get(cutLastEvent))
	if role == roleCuts && after != b.kind.cutAfter {
		// The attempt before had no event in time: the case's message is not what was asked for, and
		// its cut may be a regular end of what was.
		connend.Reset(c)
		return false
	}
	form := rawhttp.FormNamed(cut.Form)
	if role != roleCuts && role != roleSlowCuts {
		form = rawhttp.FormNamed("chunks")
	}
	m := form.Message(b.kind.lines(id, request), b.kind.body(after))
	switch role {
	case roleBreaks:
		cut = &rawhttp.Cut{At: strings.Index(m.Bytes, "id: 2")}
	case roleWhole, roleSlowWhole:
		cut = &rawhttp.Cut{At: len(m.Bytes)}
	}
	cut.Write(c, &m)
	// A request that crosses the end of a connection that is kept may have run.
	return cut.At == len(m.Bytes) && !m.Open() && !cut.Reset
}

// request sends a request and returns its response.
func (b *cutBed) request(ctx context.Context, id string, cut *rawhttp.Cut) response {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/p/x", strings.NewReader("q"))
	if err != nil {
		b.t.Error(err)
		return response{}
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set(rawhttp.CutHeader, cut.Header())
	if b.kind.lastEvent > 0 {
		req.Header.Set(cutLastEvent, strconv.Itoa(b.kind.lastEvent))
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), complete: err == nil}
}

// check checks the response to a request.
func (b *cutBed) check(id string, c *rawhttp.CutCase, got response) {
	b.mu.Lock()
	runs := b.runs[id]
	b.mu.Unlock()
	k := b.kind
	whole := got.status == http.StatusOK && got.complete
	switch {
	case whole && got.body != k.body(k.lastEvent) && !k.endsRegularly(c, got.body):
		b.t.Errorf("%+v: %q looks complete, runs %v", c.Cut, got.body, runs)
	case whole && !strings.HasSuffix(got.header.Get("X-Server-Stamp"), "."+id):
		b.t.Errorf("%+v: stamp %q", c.Cut, got.header.Get("X-Server-Stamp"))
	case !whole && k.served:
		b.t.Errorf("%+v: not served: %+v, runs %v", c.Cut, got, runs)
	case !whole && got.complete && got.status != http.StatusBadGateway:
		b.t.Errorf("%+v: status %d, runs %v", c.Cut, got.status, runs)
	case !k.route.Repeatable() && len(runs) != 1, len(runs) > len(k.roles):
		b.t.Errorf("%+v: runs %v", c.Cut, runs)
	}
}

// endsRegularly reports whether a body is what a message that is complete has. The end of a
// connection is that of a stream without a length only behind one of its events.
func (k *cutKind) endsRegularly(c *rawhttp.CutCase, body string) bool {
	if !c.Complete() {
		return false
	}
	if !k.streams() {
		return body == c.Body()
	}
	if c.Message.Open() && !strings.HasSuffix(c.Body(), "\n\n") {
		return false
	}
	before := strings.TrimSuffix(events(k.lastEvent), events(k.cutAfter))
	return body == before+c.Body() && (c.Body() != "" || k.cutAfter > 0)
}

// TestResponseCutAtEachByte guards against a response that a client takes for whole after its
// endpoint stopped inside it, and against a second run of what may run once.
func TestResponseCutAtEachByte(t *testing.T) {
	for _, kind := range cutKinds() {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			b := newCutBed(t, &kind)
			ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
			defer cancel()
			cases := kind.cases()
			t.Logf("%d cases", len(cases))
			rawhttp.InParallel(len(cases), func(i int) {
				id := fmt.Sprintf("q%05d", i)
				b.check(id, &cases[i], b.request(ctx, id, &cases[i].Cut))
			})
		})
	}
}
