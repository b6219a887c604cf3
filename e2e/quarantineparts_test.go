package e2e

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/pkg/errors"
)

// statusWithSystem sends one chat with a system message and returns the status of its
// failure, or 200.
func statusWithSystem(d *daemon, system, message string) int {
	c := chat(message, 4)
	c.Messages = append([]openai.ChatCompletionMessageParamUnion{openai.SystemMessage(system)}, c.Messages...)
	_, err := d.openai(shopKey).Chat.Completions.New(context.Background(), c)
	var failure *openai.Error
	if errors.As(err, &failure) {
		return failure.StatusCode
	}
	if err != nil {
		return 0
	}
	return http.StatusOK
}

// TestQuarantineHoldsForRequestsThatShareAMessage sends requests, no two alike, that share a
// system message which crashes engines, through every host, beside sound ones that share
// another. Few may reach an engine once it is known, also at a host that starts later, and
// the sound ones are answered.
func TestQuarantineHoldsForRequestsThatShareAMessage(t *testing.T) {
	f := newFleet(t, fleetOptions{daemons: 3, engines: 6, engineArgs: []string{"--crash-mark", crashMark}})
	seen := make(map[*endpoint]bool)
	var times []time.Time
	refused := 0
	count := func() {
		for range f.crashed(seen) {
			times = append(times, time.Now())
		}
	}
	for round := range 60 {
		for i, d := range f.daemons {
			if statusWithSystem(d, crashMark, fmt.Sprintf("brief %d.%d", round, i)) == http.StatusUnprocessableEntity {
				refused++
			}
			_ = statusWithSystem(d, "be brief", fmt.Sprintf("sound %d.%d", round, i))
			count()
		}
		if refused > 9 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if refused == 0 || len(times) == 0 {
		t.Fatalf("%d crashes and %d refusals: the run did not reach what it tests", len(times), refused)
	}
	late := 0
	for _, at := range times {
		if len(times) >= crashesBeforeBound && at.After(times[crashesBeforeBound-1].Add(verdictTime)) {
			late++
		}
	}
	if late > maxLateRuns {
		t.Errorf("%d engines crashed later than %s after the fifth crash, %d in all", late, verdictTime, len(times))
	}
	added := f.addDaemon("late", "")
	eventually(t, "late host ready", func() bool { return statusOf(added.host.OperatorAddress+"/readyz") == http.StatusOK })
	eventually(t, "late host refuses", func() bool {
		return statusWithSystem(added, crashMark, "another brief") == http.StatusUnprocessableEntity
	})
	for i, d := range append(f.daemons, added) {
		eventually(t, "sound request answered", func() bool {
			return statusWithSystem(d, "be brief", fmt.Sprintf("sound after %d", i)) == http.StatusOK
		})
	}
}
