package e2e

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

const (
	// bodyPieces is into how many pieces a slow body is cut, bodyPause the longest time
	// between two of them.
	bodyPieces = 4
	bodyPause  = 200 * time.Millisecond
	// lossSlack is how long after its last byte a request may be closed unread.
	lossSlack = 200 * time.Millisecond
	// callerIdle is the longest time between two requests of a caller.
	callerIdle = 100 * time.Millisecond
)

// keptCaller sends requests of all kinds at all hosts, one after the other, on one kept
// connection to each.
type keptCaller struct {
	*changes
	name   string
	random *rand.Rand
	conns  map[*gateway]*keptConn
}

// keptConn is a connection of a caller.
type keptConn struct {
	net.Conn
	answers *bufio.Reader
	sent    int
}

// run sends requests until the time is over.
func (k *keptCaller) run() {
	k.conns = make(map[*gateway]*keptConn)
	for n := 0; time.Now().Before(k.until); n++ {
		g := k.gateways[k.random.IntN(len(k.gateways))]
		id := fmt.Sprintf("%s-%d", k.name, n)
		path := []string{"/stream/", "/single/", "/check/", "/once/", "/coming/", "/lots-in/"}[k.random.IntN(6)]
		if err := k.call(g, path, id); err != nil {
			k.t.Errorf("%s%s at %s, %s: %v", path, id, g.name, time.Now().UTC().Format("15:04:05.000"), err)
			k.drop(g)
		}
		time.Sleep(time.Duration(k.random.Int64N(int64(callerIdle))))
	}
	for g := range k.conns {
		k.drop(g)
	}
}

func (k *keptCaller) drop(g *gateway) {
	if c := k.conns[g]; c != nil {
		_ = c.Close()
		delete(k.conns, g)
	}
}

// call sends a request whole and reads its answer. It returns an error if there is none, or
// one that no request should get here.
func (k *keptCaller) call(g *gateway, path, id string) error {
	c := k.conns[g]
	if c == nil {
		dialed, err := net.Dial("tcp", strings.TrimPrefix(g.callers, "http://"))
		if err != nil && k.restarting {
			return nil
		}
		if err != nil {
			return fmt.Errorf("no connection: %w", err)
		}
		c = &keptConn{Conn: dialed, answers: bufio.NewReader(dialed)}
		k.conns[g] = c
	}
	_ = c.SetDeadline(time.Now().Add(patience))
	body := []byte("prompt " + id)
	if path == "/lots-in/" {
		body = job(id, 1)
	}
	if err := k.write(c, path, id, body); err != nil {
		if k.crossedClose(g, id, time.Now()) {
			return nil
		}
		return fmt.Errorf("closed while the request is sent, %d before it: %w", c.sent, err)
	}
	whole := time.Now()
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil && k.crossedClose(g, id, whole) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("no answer %s after it was sent whole, %d before it: %w", time.Since(whole), c.sent, err)
	}
	answer, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return fmt.Errorf("answer %d cut after %d bytes, %s after it was sent whole: %w", resp.StatusCode, len(answer), time.Since(whole), err)
	}
	if c.sent++; resp.Close {
		k.drop(g)
	}
	return k.judge(path, id, resp.StatusCode, string(answer), time.Since(whole))
}

// crossedClose reports whether a request without an answer, whose last byte was sent at a
// time, may have crossed the close of its connection by a host that shuts down: it was passed
// on to no endpoint, and the close came within lossSlack. The connection is dropped.
func (k *keptCaller) crossedClose(g *gateway, id string, whole time.Time) bool {
	if !k.restarting || time.Since(whole) > lossSlack {
		return false
	}
	for _, r := range append(append([]*standin.Replica(nil), k.engines...), k.plain...) {
		for _, run := range r.Runs() {
			if run.Request == id {
				return false
			}
		}
	}
	k.drop(g)
	k.mu.Lock()
	k.crossed++
	k.mu.Unlock()
	return true
}

// write sends a request whose body has a length or comes in chunks, at once or slowly.
func (k *keptCaller) write(c net.Conn, path, id string, body []byte) error {
	chunked, pieces := k.random.IntN(2) == 0, 1
	if k.random.IntN(3) == 0 {
		pieces = bodyPieces
	}
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 15000\r\n", path, id, routedHost, id)
	if chunked {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	}
	out := []byte(head)
	for i := range pieces {
		piece := body[i*len(body)/pieces : (i+1)*len(body)/pieces]
		if chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		out = append(out, piece...)
		if i < pieces-1 {
			if _, err := c.Write(out); err != nil {
				return err
			}
			out = out[:0]
			time.Sleep(time.Duration(k.random.Int64N(int64(bodyPause))))
		}
	}
	if chunked {
		out = append(out, "0\r\n\r\n"...)
	}
	_, err := c.Write(out)
	return err
}

// judge returns an error for an answer that no request may get when all endpoints are sound.
func (k *keptCaller) judge(path, id string, status int, body string, after time.Duration) error {
	k.mu.Lock()
	k.answered[status]++
	k.slowest = max(k.slowest, after)
	k.mu.Unlock()
	want := map[string]string{"/stream/": wholeStream(id, soakEvents), "/single/": wholeStream(id, soakEvents)}[path]
	if want == "" {
		want = "answer to " + id
	}
	switch {
	case status == http.StatusServiceUnavailable:
	case status == http.StatusNotFound && (path == "/coming/" || path == "/single/"):
	case status == http.StatusAccepted && path == "/lots-in/":
	case status == http.StatusOK && body == want:
	default:
		return fmt.Errorf("status %d after %s: %.80q", status, after, body)
	}
	return nil
}
