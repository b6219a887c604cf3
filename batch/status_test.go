package batch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// runItemUntilDone runs an item at an endpoint, as often as answers says, and checks that it is done by the last run only.
func runItemUntilDone(t *testing.T, body string, runs int, start func(rawhttp.Answer) (*rawhttp.Endpoint, error), answer func(run int, c *net.TCPConn, req *http.Request)) {
	t.Helper()
	e := &cutEndpoint{t: t}
	var run atomic.Int64
	var err error
	e.Endpoint, err = start(func(c *net.TCPConn, req *http.Request, _ int) bool {
		answer(int(run.Add(1)), c, req)
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	item := cutItem{ref: scheduler.ItemRef{Job: "j0"}, item: jobs.Item{ID: "i00000", Path: "/lots-in/run", Tokens: 3, Body: []byte(body)}}
	l := submitCut(ctx, t, e, []cutItem{item})
	runner := NewRunner(ctx, l)
	var uses recordingSlot
	for i := range runs {
		if open := openItemCount(ctx, t, l, "j0"); open != 1 {
			t.Fatalf("%d items are open after %d runs: %+v", open, i, uses)
		}
		runner.Run(ctx, &scheduler.Start{Ticket: "t", Endpoint: "e", Item: item.ref}, &uses)
		runner.Wait(ctx)
	}
	if err := l.refresh(ctx); err != nil {
		t.Fatal(err)
	}
	checkOutputs(ctx, t, l, []cutItem{item}, 0)
}

// wholeItem answers a run of an item whole, behind the event that it asks for.
func wholeItem(c *net.TCPConn, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	m := rawhttp.FormNamed("chunks").Message(cutLines("i00000"), cutStream(after))
	(&rawhttp.Cut{At: len(m.Bytes)}).Write(c, &m)
}

// TestInvalidStatusEndsNoItem guards against an item that ends by an answer whose status is none, such as 000.
func TestInvalidStatusEndsNoItem(t *testing.T) {
	statuses := rawhttp.InvalidStatuses()
	runItemUntilDone(t, "q", len(statuses)+1, rawhttp.Start, func(run int, c *net.TCPConn, req *http.Request) {
		if run > len(statuses) {
			wholeItem(c, req)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s OK\r\n%sContent-Length: 0\r\n\r\n", statuses[run-1], cutLines("i00000"))
	})
}

// TestResetDuringTheUploadEndsNoItem guards against an item that is done with the events which its endpoint sent, without a
// length, before it read the item, and reset the connection.
func TestResetDuringTheUploadEndsNoItem(t *testing.T) {
	const resets = 20
	runItemUntilDone(t, strings.Repeat("q", 512<<10), resets+1, rawhttp.StartUnread, func(run int, c *net.TCPConn, req *http.Request) {
		if run > resets {
			wholeItem(c, req)
			return
		}
		_, _ = io.ReadFull(req.Body, make([]byte, 1<<10))
		after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		event, _, _ := strings.Cut(cutStream(after), "\n\n")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+cutLines("i00000")+"\r\n"+event+"\n\n")
		// The host reads the events before the reset.
		time.Sleep(2 * time.Millisecond)
		_ = c.SetLinger(0)
	})
}
