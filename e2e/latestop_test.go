package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/standin"
)

// onceRoute is a route whose requests may run once.
const onceRoute = `,{"name":"once","host":"ficu95.example","path_prefix":"/once/","kind":"at_most_once","timeout_ms":20000,"target_latency_ms":1000,
  "service":"plain","max_attempts":2}`

// withOnceRoute adds onceRoute to the configuration, and waits until all hosts know it.
func (f *routedFleet) withOnceRoute() {
	f.t.Helper()
	f.configure(2, onceRoute)
	for i, g := range f.gateways {
		eventually(f.t, g.name+" knows the route", func() bool {
			return g.send(http.MethodPost, "/once/x", fmt.Sprintf("known-%d", i), nil).status == http.StatusOK
		})
	}
}

// runsOf returns how often a request ran.
func runsOf(replicas []*standin.Replica, id string) int {
	n := 0
	for _, r := range replicas {
		for _, run := range r.Runs() {
			if run.Request == id {
				n++
			}
		}
	}
	return n
}

// TestRequestLateInAPlannedStopIsRefusedRatherThanCut sends requests that may run once and would
// not end within the grace period, to endpoints that never answer: one while the platform still
// sends requests, and one behind that, on a connection that had none yet.
func TestRequestLateInAPlannedStopIsRefusedRatherThanCut(t *testing.T) {
	f := newRoutedFleet(t, 1)
	f.withOnceRoute()
	f.hold()
	g := f.gateways[0]
	begun := time.Now()
	go g.stop()
	time.Sleep(time.Until(begun.Add(noticeTime - 500*time.Millisecond)))
	for id, after := range map[string]time.Duration{"noticed": noticeTime - 400*time.Millisecond, "behind": noticeTime + 200*time.Millisecond} {
		c := newRawCaller(t, g)
		t.Run(id, func(t *testing.T) {
			t.Parallel()
			time.Sleep(time.Until(begun.Add(after)))
			c.send(fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 15000\r\nContent-Length: 6\r\n\r\nprompt", routedHost, id))
			resp, err := c.answer()
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close || runsOf(f.plain, id) > 0 {
				t.Errorf("status %d after %s, Retry-After %q, connection ends %t, %d runs", resp.StatusCode,
					time.Since(begun), resp.Header.Get("Retry-After"), resp.Close, runsOf(f.plain, id))
			}
		})
	}
}

// TestUploadsInAPlannedStopAreAnswered begins to send bodies before a host takes no more requests.
// One arrives whole behind that, and can end in time; one never does.
func TestUploadsInAPlannedStopAreAnswered(t *testing.T) {
	f := newRoutedFleet(t, 1)
	f.withOnceRoute()
	g := f.gateways[0]
	begun := time.Now()
	go g.stop()
	for path, want := range map[string]struct{ whole, half int }{
		"/once/":    {http.StatusOK, http.StatusServiceUnavailable},
		"/lots-in/": {http.StatusAccepted, http.StatusServiceUnavailable},
	} {
		for id, status := range map[string]int{"whole": want.whole, "half": want.half} {
			c := newRawCaller(t, g)
			t.Run(path+id, func(t *testing.T) {
				t.Parallel()
				id += strings.Trim(path, "/")
				body := job(id, 1)
				c.send(fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n%s",
					path, id, routedHost, id, len(body), body[:len(body)/2]))
				time.Sleep(time.Until(begun.Add(noticeTime + 500*time.Millisecond)))
				if strings.HasPrefix(id, "whole") {
					c.send(string(body[len(body)/2:]))
				}
				resp, err := c.answer()
				if err != nil {
					t.Fatal(err)
				}
				if resp.StatusCode != status || (resp.Header.Get("Retry-After") != "") != (status == http.StatusServiceUnavailable) {
					t.Errorf("status %d after %s, Retry-After %q", resp.StatusCode, time.Since(begun), resp.Header.Get("Retry-After"))
				}
			})
		}
	}
}

// endings returns how a gateway logged the ends of a request without a complete answer.
func (g *gateway) endings(id string) []string {
	data, err := os.ReadFile(g.log.Name())
	if err != nil {
		return nil
	}
	var out []string
	for _, text := range bytes.Split(data, []byte("\n")) {
		var line struct {
			Event, Request string
			Status         int
			EndedBy        string `json:"ended_by"`
		}
		if json.Unmarshal(text, &line) == nil && line.Event == "request" && line.Request == id && line.Status == 0 {
			out = append(out, line.EndedBy)
		}
	}
	return out
}

// TestCutRequestIsLoggedBeforeAHostEnds has a client take no more of its stream, so that the host
// can't end it in time.
func TestCutRequestIsLoggedBeforeAHostEnds(t *testing.T) {
	f := newRoutedFleet(t, 1)
	for _, r := range f.engines {
		r.SetFaults(standin.ReplicaFaults{Endless: true})
	}
	g := f.gateways[0]
	c := newRawCaller(t, g)
	c.send(streamRequest("stuck"))
	begun := time.Now()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		g.stop()
	}()
	// The host gives a caller up that takes nothing for 3 s, which is to be after its own end.
	_ = c.SetReadDeadline(begun.Add(noticeTime + 2*time.Second))
	if n, err := io.Copy(io.Discard, c); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the stream ended after %d bytes: %v", n, err)
	}
	<-stopped
	if got := g.endings("stuck"); len(got) != 1 || got[0] != "host_shut_down" {
		t.Errorf("logged ends: %q", got)
	}
}
