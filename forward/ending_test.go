package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/disconnect"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/upstream"
)

// loggedEnding is what the log says of the end of a request.
type loggedEnding struct {
	Event   string `json:"event"`
	Status  int    `json:"status"`
	Phase   string `json:"phase"`
	EndedBy string `json:"ended_by"`
}

// endings returns the ends of requests in the log, after it has closed the server.
func (b *testbed) endings() []loggedEnding {
	b.t.Helper()
	b.server.Close()
	var out []loggedEnding
	for _, line := range bytes.Split(bytes.TrimSpace(b.logLines.Bytes()), []byte("\n")) {
		var l loggedEnding
		if err := json.Unmarshal(line, &l); err != nil {
			b.t.Fatal(err)
		}
		if l.Event == "request" {
			out = append(out, l)
		}
	}
	return out
}

// awaitRun waits until a replica has begun to work on a request.
func (b *testbed) awaitRun() {
	b.t.Helper()
	for deadline := time.Now().Add(testTimeout); len(b.replicas[0].Runs()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			b.t.Fatal("no replica got the request")
		}
	}
}

// dial sends the head of a request, which promises a body of a number of bytes, on a
// connection of its own.
func (b *testbed) dial(promised string) net.Conn {
	b.t.Helper()
	return b.dialHost("h.example", promised)
}

// dialHost does the same for another Host header. Reads end after testTimeout.
func (b *testbed) dialHost(host, promised string) net.Conn {
	b.t.Helper()
	c, err := net.Dial("tcp", b.server.Listener.Addr().String())
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := c.Write([]byte("POST /p/x HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: q\r\nContent-Length: " + promised + "\r\n\r\n")); err != nil {
		b.t.Fatal(err)
	}
	return c
}

// TestIncompleteAnswerNamesItsCause ends a request in each way, and reads the cause and the
// phase in the log.
func TestIncompleteAnswerNamesItsCause(t *testing.T) {
	// More than the buffers of a connection hold.
	large := standin.Answer{Status: http.StatusOK, Body: strings.Repeat("x", 32<<20)}
	for name, one := range map[string]struct {
		route  route.Route
		faults standin.ReplicaFaults
		end    func(b *testbed)
		want   loggedEnding
	}{
		"client closes": {atMostOnce, standin.ReplicaFaults{Silent: true}, func(b *testbed) {
			c := b.dial("0")
			b.awaitRun()
			_ = c.Close()
		}, loggedEnding{Phase: "waiting", EndedBy: "client_closed"}},
		"client resets": {atMostOnce, standin.ReplicaFaults{Silent: true}, func(b *testbed) {
			c := b.dial("0")
			b.awaitRun()
			_, _ = c.(*net.TCPConn).SetLinger(0), c.Close()
		}, loggedEnding{Phase: "waiting", EndedBy: "client_reset"}},
		"closed here": {atMostOnce, standin.ReplicaFaults{Silent: true}, func(b *testbed) {
			b.dial("0")
			b.awaitRun()
			_ = b.server.Config.Close()
		}, loggedEnding{Phase: "waiting", EndedBy: "closed_here"}},
		"closed at the end of the host's time": {atMostOnce, standin.ReplicaFaults{Answer: &large}, func(b *testbed) {
			c := b.dial("0")
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Error(err)
			}
			b.forwarder.EndRequests()
			_ = b.server.Config.Close()
		}, loggedEnding{Phase: "response", EndedBy: "host_shut_down"}},
		"stream cut": {singleRunStream, standin.ReplicaFaults{CutAfter: 3}, func(b *testbed) {
			b.send(context.Background(), "", nil)
		}, loggedEnding{Phase: "response", EndedBy: "stream_not_resumed"}},
		"deadline in a stream": {singleRunStream, standin.ReplicaFaults{SilentAfter: 3}, func(b *testbed) {
			b.send(context.Background(), "", map[string]string{"X-Deadline-Ms": "200"})
		}, loggedEnding{Phase: "response", EndedBy: "deadline_passed"}},
	} {
		b := newTestbed(t, one.route, 1, 9)
		b.replicas[0].SetFaults(one.faults)
		one.end(b)
		one.want.Event = "request"
		awaitReleased(t, b)
		if got := b.endings(); len(got) != 1 || got[0] != one.want {
			t.Errorf("%s: %+v, want %+v", name, got, one.want)
		}
	}
}

// awaitReleased waits until the attempt of a request has ended.
func awaitReleased(t *testing.T, b *testbed) {
	t.Helper()
	select {
	case <-b.placer.released:
	case <-time.After(testTimeout):
		t.Fatal("the attempt did not end")
	}
}

// TestInterruptedResponseNamesItsCause tells a response that the endpoint cut from one that
// could not be written.
func TestInterruptedResponseNamesItsCause(t *testing.T) {
	open := context.Background()
	passed, cancel := context.WithDeadline(open, time.Unix(1, 0))
	defer cancel()
	left, leave := context.WithCancel(open)
	leave()
	ended, end := context.WithCancel(open)
	end()
	cut := errors.Wrap(upstream.ErrTruncated, "read")
	for _, c := range []struct {
		client, request context.Context
		err             error
		want            ending
	}{
		{open, open, cut, endpointCut},
		{open, passed, cut, deadlinePassed},
		{left, left, cut, ending(disconnect.ClientClosed)},
		{open, open, nil, streamNotResumed},
		// The host ended the request, and closed the connection to the endpoint by that.
		{open, ended, cut, streamNotResumed},
	} {
		if got := interrupted(c.client, c.request, c.err, streamNotResumed); got != c.want {
			t.Errorf("%q, want %q", got, c.want)
		}
	}
}
