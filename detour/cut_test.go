package detour

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
	"github.com/peridotmount/peridotmount/upstream"
)

const (
	// cutRequest has the form of the ids of the requests whose responses are cut, cutBody is the
	// body of the responses.
	cutRequest = "r%05d"
	cutBody    = "the whole body"
	// cutTimeout bounds all calls of a test.
	cutTimeout = 2 * time.Minute
	// cutCalls bounds the calls in progress.
	cutCalls = 64
)

func cutLines(request string) string {
	return "X-Request-Id: " + request + "\r\n"
}

// cutEndpoint cuts its responses as their requests say, and counts the runs of each.
type cutEndpoint struct {
	*rawhttp.Endpoint
	mu   sync.Mutex
	runs map[string]int
}

func startCutEndpoint(t *testing.T) *cutEndpoint {
	t.Helper()
	e := &cutEndpoint{runs: make(map[string]int)}
	var err error
	e.Endpoint, err = rawhttp.Start(func(c *net.TCPConn, req *http.Request, _ int) bool {
		id := req.Header.Get("X-Request-Id")
		e.mu.Lock()
		e.runs[id]++
		e.mu.Unlock()
		cut, err := rawhttp.CutOf(req)
		if err != nil || cut == nil {
			t.Errorf("cut %v, error %v", cut, err)
			return false
		}
		m := rawhttp.FormNamed(cut.Form).Message(cutLines(id), cutBody)
		cut.Write(c, &m)
		// A call that crosses the end of a connection that is kept may have run.
		return cut.At == len(m.Bytes) && !m.Open()
	})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// callOf returns a call whose response is cut.
func callOf(id string, c *rawhttp.Cut) *upstream.Call {
	return &upstream.Call{
		Request: id, Method: http.MethodPost, Target: "/x", Host: "caller.example",
		Header: http.Header{"X-Request-Id": {id}, rawhttp.CutHeader: {c.Header()}}, Body: []byte("q"), Matches: platform.Answers(id),
	}
}

// checkCut checks the response to a call, of which an endpoint sent what c says.
func (e *cutEndpoint) checkCut(t *testing.T, c *rawhttp.CutCase, id, body string, err error) {
	t.Helper()
	e.mu.Lock()
	runs := e.runs[id]
	e.mu.Unlock()
	switch {
	case runs != 1:
		t.Errorf("%+v: %d runs, error %v", c.Cut, runs, err)
	case err == nil && (!c.Complete() || body != c.Body()):
		t.Errorf("%+v: %q looks complete", c.Cut, body)
	case err != nil && c.Complete() && !c.Reset:
		t.Errorf("%+v: %v", c.Cut, err)
	case errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrPathLost):
		t.Errorf("%+v: error %v, and the endpoint broke off", c.Cut, err)
	}
}

// cutsThroughAnother returns the cuts in one packet; in heads, and of responses with a length or
// chunks, only those by an end.
func cutsThroughAnother() []rawhttp.CutCase {
	var out []rawhttp.CutCase
	for _, c := range rawhttp.CutCases(cutLines(fmt.Sprintf(cutRequest, 0)), cutBody) {
		if c.Packet == 0 && (!c.Reset || c.Message.Open() && c.At >= c.Message.Head()-1) {
			out = append(out, c)
		}
	}
	return out
}

// TestResponseCutAtEachByteThroughAnotherHost guards against a response that is taken for whole after
// its endpoint stopped inside it, while another host made the call: for requests of routes, and for
// those of an http.Client.
func TestResponseCutAtEachByteThroughAnotherHost(t *testing.T) {
	cases := cutsThroughAnother()
	t.Run("routes", func(t *testing.T) {
		t.Parallel()
		e := startCutEndpoint(t)
		hosts := startTestHosts(t, 2, &testEndpoint{address: e.Address()}, func(i int, o *Options) {
			o.MaxCalls = cutCalls
			if i == 1 {
				// Connections that endpoints break off don't strand the host that helps.
				o.Pool = upstream.NewPool(upstream.Options{DialTimeout: cutTimeout})
			}
		})
		t.Cleanup(func() { hosts[1].sender.opts.Pool.CloseAllIdle(); e.Close() })
		hosts[0].strand(t)
		ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
		defer cancel()
		t.Logf("%d cases", len(cases))
		rawhttp.InParallel(len(cases), func(i int) {
			id := fmt.Sprintf(cutRequest, i)
			resp, err := hosts[0].sender.Send(ctx, "e0", closedAddress, callOf(id, &cases[i].Cut))
			var body []byte
			if err == nil {
				body, err = io.ReadAll(resp)
				resp.Close()
			}
			e.checkCut(t, &cases[i], id, string(body), err)
		})
	})
	t.Run("http.Client", func(t *testing.T) {
		t.Parallel()
		e := startCutEndpoint(t)
		hosts, clients := startHTTPHosts(t, 2, &testEndpoint{address: e.Address()})
		t.Cleanup(func() { hosts[1].sender.opts.Pool.CloseAllIdle(); e.Close() })
		hosts[0].strand(t)
		ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
		defer cancel()
		rawhttp.InParallel(len(cases), func(i int) {
			id := fmt.Sprintf(cutRequest, i)
			req, err := http.NewRequestWithContext(WithRequest(ctx, id), http.MethodPost, "http://"+e.Address()+"/x", strings.NewReader("q"))
			if err != nil {
				t.Error(err)
				return
			}
			req.Header = callOf(id, &cases[i].Cut).Header
			resp, err := clients[0].Do(req)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			e.checkCut(t, &cases[i], id, string(body), err)
		})
	})
}

// record has a host make a call, and returns its answer byte for byte.
func record(t *testing.T, helper *testHost, call *upstream.Call) string {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(helper.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	req, err := newCallRequest(testContext(t), &helper.host, "e0", call)
	if err != nil {
		t.Fatal(err)
	}
	if err := req.Write(conn); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(conn, &out)), req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// TestAnswerOfAnotherHostCutAtEachByte guards against a response that is taken for whole after the
// host that made the call stopped inside its answer, and against one that is said not to have been
// sent.
func TestAnswerOfAnotherHostCutAtEachByte(t *testing.T) {
	e := startCutEndpoint(t)
	hosts := startTestHosts(t, 2, &testEndpoint{address: e.Address()}, nil)
	answers := make(map[string]string)
	for _, form := range []string{"length", "length 0", "chunks", "open"} {
		m := rawhttp.FormNamed(form).Message(cutLines("r"), cutBody)
		answers[form] = record(t, hosts[1], callOf("r", &rawhttp.Cut{Form: form, At: len(m.Bytes)}))
		if form == "length 0" {
			continue
		}
		answers[form+", cut"] = record(t, hosts[1], callOf("r", &rawhttp.Cut{Form: form, At: m.Head(), Reset: true}))
		answers[form+", cut inside its head"] = record(t, hosts[1], callOf("r", &rawhttp.Cut{Form: form, At: m.Head() / 2}))
	}
	hosts[1].sender.opts.Pool.CloseAllIdle()
	e.Close()
	var firsts, calls sync.Map
	helper, err := rawhttp.Start(func(c *net.TCPConn, req *http.Request, _ int) bool {
		head, _, err := readCall(req.Body)
		if err != nil {
			t.Error(err)
			return false
		}
		if _, prepared := firsts.LoadOrStore(head.Request, true); !prepared && strings.HasSuffix(head.Request, "-reused") {
			// Leaves the connection to the next call of the same transport, which may open a new
			// one on a busy machine.
			_, _ = io.WriteString(c, answers["length"])
			return true
		}
		if _, again := calls.LoadOrStore(head.Request, true); again {
			t.Errorf("%s was sent again", head.Request)
		}
		header, err := decodeHeader(head.Header)
		if err != nil {
			t.Error(err)
			return false
		}
		cut, err := rawhttp.CutOf(&http.Request{Header: header})
		if err != nil || cut == nil {
			t.Errorf("cut %v, error %v", cut, err)
			return false
		}
		cut.Write(c, &rawhttp.Message{Bytes: answers[cut.Form]})
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(helper.Close)
	host := peers.Host{Name: "helper", Address: "http://" + helper.Address(), Token: "t"}
	var cases []rawhttp.Cut
	for name, answer := range answers {
		for at := range len(answer) {
			cases = append(cases, rawhttp.Cut{Form: name, At: at})
			if strings.HasPrefix(name, "open") {
				cases = append(cases, rawhttp.Cut{Form: name, At: at, Reset: true})
			}
		}
		cases = append(cases, rawhttp.Cut{Form: name, At: len(answer)})
	}
	t.Logf("%d cases", len(cases))
	ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
	defer cancel()
	rawhttp.InParallel(len(cases), func(i int) {
		c := cases[i]
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		s := New(Options{
			Self: peers.Host{Name: "self"}, Peers: transport, Hosts: func() []peers.Host { return []peers.Host{host} },
			Endpoint: func(string) *endpoint.Endpoint { return nil }, OnStranded: func(bool) {}, Logger: log.NewNopLogger(),
		})
		id := fmt.Sprintf(cutRequest, i)
		if i%2 == 1 {
			id += "-reused"
			if _, err := sendWhole(ctx, s, callOf(id, &c)); err != nil {
				t.Error(err)
				return
			}
		}
		body, err := sendWhole(ctx, s, callOf(id, &c))
		whole := c.At == len(answers[c.Form])
		_, _, brokenOff := strings.Cut(c.Form, ", ")
		switch {
		case err == nil && (!whole || brokenOff || body != bodyOf(c.Form)):
			t.Errorf("%+v: %q looks complete", c, body)
		case errors.Is(err, upstream.ErrNotSent):
			t.Errorf("%+v: error %v", c, err)
		case whole && !brokenOff && err != nil:
			t.Errorf("%+v: %v", c, err)
		}
	})
}

func bodyOf(form string) string {
	if form == "length 0" {
		return ""
	}
	return cutBody
}

// sendWhole has another host make a call, and returns the body of the response.
func sendWhole(ctx context.Context, s *Sender, call *upstream.Call) (string, error) {
	resp, err := s.sendThroughHelper(ctx, "e0", call)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}
