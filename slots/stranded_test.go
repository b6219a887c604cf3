package slots

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/peers"
)

// lockedBuffer is a log that may be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// TestNewSchedulerLearnsWhoIsStranded has a host report that it reaches no endpoint before it
// joins a scheduler, and that it does again after that.
func TestNewSchedulerLearnsWhoIsStranded(t *testing.T) {
	directory := newFakeDirectory(peers.Host{Name: "a", Incarnation: "i"})
	host := runClient(t, "a", &leavingEndpoints{}, directory)
	eventually(t, "own scheduler", func() bool { return host.Scheduler() == "a" })
	host.ReportStranded(true)
	logged := &lockedBuffer{}
	local := newLeavingScheduler(t, &leavingEndpoints{})
	local.logger = log.NewJSONLogger(logged)
	directory.set(serveSessions(t, "first", local), peers.Host{Name: "a", Incarnation: "i"})
	line := func(stranded string) string {
		return `"event":"host_stranded","level":"info","peer":"a","stranded":` + stranded
	}
	eventually(t, "the new scheduler learns it", func() bool { return strings.Contains(logged.text(), line("true")) })
	host.ReportStranded(false)
	eventually(t, "the scheduler learns the end", func() bool { return strings.Contains(logged.text(), line("false")) })
}
