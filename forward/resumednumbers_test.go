package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// numberedEvents returns the events of a run, which its data names, from one number to another.
func numberedEvents(run string, first, last int) string {
	out := ""
	for n := first; n <= last; n++ {
		out += fmt.Sprintf("id: %d\ndata: %s.%d\n\n", n, run, n)
	}
	return out
}

// TestStreamsAreJoinedOnlyBehindTheirLastEvent breaks a stream off, and has the next endpoint answer
// with events that do not follow the last one. It guards against events that are missing or come twice
// behind the place where two runs are joined, and against an end that looks complete there.
func TestStreamsAreJoinedOnlyBehindTheirLastEvent(t *testing.T) {
	const last = 6
	unnumbered := "data: a\n\ndata: b\n\n"
	for name, c := range map[string]struct {
		// begins is what the first endpoint sends before it breaks off, goesOn the whole answer of
		// the second, got what the client may get, complete whether it is all.
		begins, goesOn, got string
		complete            bool
	}{
		"goes on":                 {numberedEvents("x", 1, 3), numberedEvents("y", 4, last), numberedEvents("x", 1, 3) + numberedEvents("y", 4, last), true},
		"goes on behind a part":   {numberedEvents("x", 1, 3) + "id: 4\nda", numberedEvents("y", 4, last), numberedEvents("x", 1, 3) + numberedEvents("y", 4, last), true},
		"behind a whole one's id": {numberedEvents("x", 1, 3) + "id: 4\ndata: x.4\n", numberedEvents("y", 4, last), numberedEvents("x", 1, 3) + numberedEvents("y", 4, last), true},
		"from the beginning":      {numberedEvents("x", 1, 3), numberedEvents("y", 1, last), numberedEvents("x", 1, 3), false},
		"repeats the last":        {numberedEvents("x", 1, 3), numberedEvents("y", 3, last), numberedEvents("x", 1, 3), false},
		"leaves one out":          {numberedEvents("x", 1, 3), numberedEvents("y", 5, last), numberedEvents("x", 1, 3), false},
		"without numbers":         {numberedEvents("x", 1, 3), unnumbered, numberedEvents("x", 1, 3), false},
		"one without a number":    {numberedEvents("x", 1, 3), "data: a\n\n" + numberedEvents("y", 4, last), numberedEvents("x", 1, 3), false},
		"named, not numbered":     {numberedEvents("x", 1, 3), "id: four\ndata: y.4\n\n", numberedEvents("x", 1, 3), false},
		"negative number":         {numberedEvents("x", 1, 3), "id: -4\ndata: y.4\n\n", numberedEvents("x", 1, 3), false},
		"never numbered":          {unnumbered, unnumbered + "data: c\n\n", unnumbered, false},
		"numbered later":          {unnumbered, numberedEvents("y", 1, last), unnumbered, false},
		"keep-alives between":     {numberedEvents("x", 1, 2) + "data\n\n", "data:\n\n" + numberedEvents("y", 3, 4), numberedEvents("x", 1, 2) + "data\n\ndata:\n\n" + numberedEvents("y", 3, 4), true},
		"several lines":           {"id: 1\ndata: a\ndata: b\n\n", "event: z\nid: 2\ndata: c\ndata: d\n\n", "id: 1\ndata: a\ndata: b\n\nevent: z\nid: 2\ndata: c\ndata: d\n\n", true},
		"comments between":        {numberedEvents("x", 1, 2) + ": on\n\n", ": on\n\n" + numberedEvents("y", 3, 4), numberedEvents("x", 1, 2) + ": on\n\n: on\n\n" + numberedEvents("y", 3, 4), true},
		"begins behind the first": {numberedEvents("x", 7, 8), numberedEvents("y", 9, 9), numberedEvents("x", 7, 8) + numberedEvents("y", 9, 9), true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 2, Timeout: testTimeout}, 0, 0)
			b.ignoreReleases()
			var asked []string
			for i, body := range []string{c.begins, c.goesOn} {
				e, err := rawhttp.Start(func(conn *net.TCPConn, req *http.Request, _ int) bool {
					asked = append(asked, req.Header.Get(cutLastEvent))
					m := rawhttp.FormNamed("chunks").Message(deadLines(strconv.Itoa(i), req.Header.Get("X-Request-Id"), route.Streaming), body)
					if i == 0 {
						m.Bytes = strings.TrimSuffix(m.Bytes, "0\r\n\r\n")
					}
					_, _ = io.WriteString(conn, m.Bytes)
					return false
				})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { b.pool.CloseAllIdle(); e.Close() })
				b.placer.endpoints = append(b.placer.endpoints, &endpoint.Endpoint{ID: strconv.Itoa(i), Service: "s", Address: e.Address(), Slots: 8})
			}
			_, got := b.send(context.Background(), "q", nil)
			if got.complete != c.complete || !strings.HasPrefix(c.got, got.body) || c.complete && got.body != c.got {
				t.Errorf("complete %t, got %q, want %q; asked behind %q", got.complete, got.body, c.got, asked)
			}
		})
	}
}
