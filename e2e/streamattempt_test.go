package e2e

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// streamAttempt is one request of a caller for a stream, or for the rest of it.
type streamAttempt struct {
	host string
	// pid is the process that served the host as it was sent, by which its log is named.
	pid         int
	request     string
	sent, ended time.Time
	after       int
	events      []runEvent
	reply       reply
}

func (a *streamAttempt) String() string {
	const clockTime = "15:04:05.000"
	outcome := fmt.Sprint(a.reply.status)
	if a.reply.status != 0 && a.reply.status != 200 {
		outcome += " " + strings.TrimSpace(string(a.reply.body[:min(len(a.reply.body), 80)]))
	}
	if a.reply.err != nil {
		outcome += ", " + a.reply.err.Error()
	}
	from := ""
	if len(a.events) > 0 {
		first := a.events[0]
		from = fmt.Sprintf(" from %s run %d", first.replica, first.run)
	}
	return fmt.Sprintf("%s to %s at %s (pid %d) after %d: %d events%s, %s, ended %s",
		a.sent.UTC().Format(clockTime), a.request, cmp.Or(a.host, "?"), a.pid, a.after, len(a.events), from, outcome, a.ended.UTC().Format(clockTime))
}
