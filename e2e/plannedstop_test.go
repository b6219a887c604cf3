package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// noticeTime is how long a host that shuts down takes all requests.
const noticeTime = 2500 * time.Millisecond

// rawCaller is a caller's connection to a host, which sends requests in pieces.
type rawCaller struct {
	net.Conn
	t       *testing.T
	answers *bufio.Reader
}

func newRawCaller(t *testing.T, g *gateway) *rawCaller {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(g.callers, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &rawCaller{Conn: c, t: t, answers: bufio.NewReader(c)}
}

// newKeptCaller returns a rawCaller that got an answer before.
func newKeptCaller(t *testing.T, g *gateway) *rawCaller {
	t.Helper()
	c := newRawCaller(t, g)
	c.send(streamRequest("first-" + strings.ReplaceAll(t.Name(), "/", "-")))
	if resp, err := c.answer(); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("first request: %v, %v", resp, err)
	}
	return c
}

func (c *rawCaller) send(piece string) {
	c.t.Helper()
	if _, err := io.WriteString(c, piece); err != nil {
		c.t.Errorf("the host closed the connection: %v", err)
	}
}

// answer reads a whole response.
func (c *rawCaller) answer() (*http.Response, error) {
	_ = c.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return resp, err
}

func streamRequest(id string) string {
	return fmt.Sprintf("POST /stream/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 15000\r\nContent-Length: 6\r\n\r\nprompt", routedHost, id)
}

// hold has a request wait at a silent endpoint, so that a shutdown takes all its time.
func (f *routedFleet) hold() {
	f.t.Helper()
	for _, r := range f.plain {
		r.SetFaults(standin.ReplicaFaults{Silent: true})
	}
	go f.gateways[0].send(http.MethodPost, "/check/x", "held", []byte("prompt"))
	eventually(f.t, "the request is at an endpoint", func() bool { return len(f.plain[0].Runs())+len(f.plain[1].Runs()) > 0 })
}

// TestRequestReadDuringAShutdownIsAnswered sends requests whose head is in the middle when a
// host that shuts down begins to close connections: net/http drops what it reads from then on.
func TestRequestReadDuringAShutdownIsAnswered(t *testing.T) {
	for name, connect := range map[string]func(*testing.T, *gateway) *rawCaller{"new": newRawCaller, "kept": newKeptCaller} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRoutedFleet(t, 1)
			f.hold()
			g := f.gateways[0]
			c := connect(t, g)
			begun := time.Now()
			go g.stop()
			request := streamRequest("late")
			time.Sleep(time.Until(begun.Add(noticeTime - 300*time.Millisecond)))
			c.send(request[:len(request)/2])
			time.Sleep(time.Until(begun.Add(noticeTime + 500*time.Millisecond)))
			c.send(request[len(request)/2:])
			if _, err := c.answer(); err != nil {
				t.Errorf("no answer: %v", err)
			}
			<-g.done
		})
	}
}

// TestRequestBesideAFrozenShutdownIsAnswered freezes a host that shuts down, as a host does
// whose processor quota is used up: it wakes with a request in its sockets, and with its time to
// close connections come.
func TestRequestBesideAFrozenShutdownIsAnswered(t *testing.T) {
	for _, connect := range []struct {
		name string
		with func(*testing.T, *gateway) *rawCaller
	}{{"kept", newKeptCaller}, {"new", newRawCaller}} {
		t.Run(connect.name, func(t *testing.T) {
			t.Parallel()
			f := newRoutedFleet(t, 1)
			f.hold()
			g := f.gateways[0]
			var callers []*rawCaller
			for range 16 {
				callers = append(callers, connect.with(t, g))
			}
			begun := time.Now()
			go g.stop()
			time.Sleep(time.Until(begun.Add(noticeTime - 300*time.Millisecond)))
			g.freeze()
			for i, c := range callers {
				c.send(streamRequest(fmt.Sprintf("frozen-%d", i)))
			}
			time.Sleep(time.Until(begun.Add(noticeTime + 100*time.Millisecond)))
			g.thaw()
			for i, c := range callers {
				if _, err := c.answer(); err != nil {
					t.Errorf("caller %d has no answer: %v", i, err)
				}
			}
			<-g.done
		})
	}
}
