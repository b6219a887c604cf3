package detour

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/upstream"
)

// TestUnreadableRefusalIsNotTakenForNotRun has the helping host answer in each way that no host
// does: the call may have been made, but where it says otherwise.
func TestUnreadableRefusalIsNotTakenForNotRun(t *testing.T) {
	for _, c := range []struct {
		status  int
		outcome string
		body    string
		want    error
	}{
		{503, "unanswered", `{"reason":"` + strings.Repeat("x", 1<<20), upstream.ErrNoResponse},
		{503, "unanswered", "", upstream.ErrNoResponse},
		{503, "another", "{}", upstream.ErrPathLost},
		{500, "", "", upstream.ErrPathLost},
		{502, "unsent", "{}", upstream.ErrPathLost},
		{200, "", "no head", upstream.ErrPathLost},
		{503, "unsent", "}{", upstream.ErrNotSent},
		{503, "", "full", upstream.ErrCutOff},
		{404, "", "no such page", upstream.ErrCutOff},
		{401, "", "", upstream.ErrCutOff},
	} {
		e := startTestEndpoint(t)
		hosts := startTestHosts(t, 2, e, nil)
		hosts[1].server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if c.outcome != "" {
				w.Header().Set(outcomeHeader, c.outcome)
			}
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		})
		hosts[0].strand(t)
		_, _, err := hosts[0].send(testContext(t), e, "/echo", nil)
		if !errors.Is(err, c.want) || (!errors.Is(c.want, upstream.ErrNotSent) && errors.Is(err, upstream.ErrNotSent)) {
			t.Errorf("%d %q: error %v, want %v", c.status, c.outcome, err, c.want)
		}
	}
}

// TestCallsArriveByteForByte sends bytes that are no UTF-8 in the target and in headers.
func TestCallsArriveByteForByte(t *testing.T) {
	const target, value = "/x\xe9?q=\xff", "caf\xe9 <&>"
	got := make(chan string, 2)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.RequestURI + " " + r.Header.Get("X-Odd") + " " + fmt.Sprint(r.Header["User-Agent"])
		w.Header().Set("X-Request-Id", "r1")
		w.Header().Set("X-Odd", value)
	}))
	t.Cleanup(server.Close)
	e := &testEndpoint{address: strings.TrimPrefix(server.URL, "http://")}
	hosts := startTestHosts(t, 2, e, nil)
	call := &upstream.Call{
		Request: "r1", Method: http.MethodPost, Target: target, Host: "h",
		Header: http.Header{"X-Request-Id": {"r1"}, "X-Odd": {value}, "User-Agent": {""}},
	}
	send := func() string {
		resp, err := hosts[0].sender.Send(testContext(t), "e0", hosts[0].address(e), call)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Close()
		return <-got + " " + resp.Header.Get("X-Odd")
	}
	direct := send()
	hosts[0].strand(t)
	if helped := send(); helped != direct {
		t.Errorf("%q through another host, %q directly", helped, direct)
	}
}

// TestSlowEndpointsLeaveNoHostWithoutHelp has calls take long at both other hosts: the next one is
// made all the same.
func TestSlowEndpointsLeaveNoHostWithoutHelp(t *testing.T) {
	e := startTestEndpoint(t)
	hosts := startTestHosts(t, 3, e, nil)
	hosts[0].strand(t)
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	for range 2 {
		go func() { _, _, _ = hosts[0].send(ctx, e, "/hang", nil) }()
	}
	time.Sleep(slowAfter + 50*time.Millisecond)
	if _, _, err := hosts[0].send(testContext(t), e, "/echo", nil); err != nil {
		t.Errorf("error %v", err)
	}
}

// TestHelpedAnswersAreTimedByTheClockOfLimits checks the time that goes with what an answer says of
// its endpoint: a rate limit is ended only by an answer to a later request.
func TestHelpedAnswersAreTimedByTheClockOfLimits(t *testing.T) {
	e := startTestEndpoint(t)
	times := make(chan time.Time, 4)
	hosts := startTestHosts(t, 2, e, func(_ int, o *Options) {
		o.OnResponse = func(_ *endpoint.Endpoint, _ string, sent time.Time) func(int, http.Header) {
			times <- sent
			return func(int, http.Header) {}
		}
	})
	hosts[0].strand(t)
	before := clock.Now()
	if _, _, err := hosts[0].send(testContext(t), e, "/echo", nil); err != nil {
		t.Fatal(err)
	}
	if sent := <-times; sent.Before(before) || sent.After(clock.Now()) {
		t.Errorf("sent %s from now", sent.Sub(clock.Now()))
	}
}
