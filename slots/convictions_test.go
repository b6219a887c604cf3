package slots

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/scheduler"
)

// newConvictingScheduler runs the scheduler of a host with the given convictions.
func newConvictingScheduler(t *testing.T, convictions *blame.List) *LocalScheduler {
	t.Helper()
	local := newLocalScheduler(&Options{
		Self: peers.Host{Name: "first"}, Convictions: convictions,
		LeavingEndpoints:   func() []endpoint.Incarnation { return nil },
		AddLeavingEndpoint: func(endpoint.Incarnation) bool { return false },
		Directory:          newFakeDirectory(), RecordsReadUntil: time.Now, KnowsJob: func(string) bool { return true }, Logger: log.NewNopLogger(),
	}, newMetrics(nil))
	run(t, local.Serve)
	return local
}

// broadcasts collects what a host is told.
type broadcasts struct {
	mu          sync.Mutex
	convictions []blame.Conviction
	suspects    []blame.Key
	refused     []*scheduler.Refuse
}

func (b *broadcasts) deliver(m SchedulerMessage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Broadcast != nil {
		b.convictions, b.suspects = m.Broadcast.Convictions, m.Broadcast.Suspects
	}
	if m.Refuse != nil {
		b.refused = append(b.refused, m.Refuse)
	}
}

func (b *broadcasts) convicted() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := ""
	for _, c := range b.convictions {
		out += c.Keys.String() + ";"
	}
	return out
}

func awaitTrue(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// TestConvictionReachesAllHosts reports crashes from one host: another one, which saw none,
// and one that joins later are told of the conviction, and requests of a host that does not
// know it yet are refused.
func TestConvictionReachesAllHosts(t *testing.T) {
	local := newConvictingScheduler(t, nil)
	var other, late broadcasts
	local.Join(&scheduler.Hello{Host: "other"}, other.deliver)
	for i := range 6 {
		local.Handle("sees", &HostMessage{Crash: &blame.Crash{
			Endpoint: fmt.Sprint(i), Service: "s", Endpoints: 20, Attempt: fmt.Sprint(i), Age: time.Duration(i) * time.Second,
			Keys: blame.KeysOf(fmt.Sprint(i), []string{"sound", "x"}),
		}})
	}
	local.Handle("answers", &HostMessage{Answers: []blame.Answer{{Key: blame.PartKey("sound")}}})
	awaitTrue(t, "conviction", func() bool { return other.convicted() == "part:x;" })
	local.Join(&scheduler.Hello{Host: "late"}, late.deliver)
	awaitTrue(t, "conviction at a late host", func() bool { return late.convicted() == "part:x;" })
	local.Handle("late", &HostMessage{Acquire: &scheduler.SlotRequest{Ticket: "t", Service: "s", Prefix: []string{"x", "own"}}})
	awaitTrue(t, "refusal", func() bool {
		late.mu.Lock()
		defer late.mu.Unlock()
		return len(late.refused) == 1 && late.refused[0].Reason == scheduler.ReasonConvicted && late.refused[0].RetryAfter > 0
	})
}

// TestNewSchedulerLearnsWhatHostsKnow lets a host with convictions and reports of crashes
// join a scheduler that has none.
func TestNewSchedulerLearnsWhatHostsKnow(t *testing.T) {
	known := blame.NewList(nil)
	known.Add(time.Now(), blame.Conviction{Keys: blame.NewCombination("part:x"), Left: time.Minute})
	directory := newFakeDirectory()
	c, local := NewClient(Options{
		Self: peers.Host{Name: "host", Incarnation: "i"}, Directory: directory, Convictions: known,
		RecordsReadUntil: time.Now, ResumableItems: func() []scheduler.Resumable { return nil },
		Offers: func() []scheduler.Offer { return nil }, KnowsJob: func(string) bool { return true },
		LeavingEndpoints:   func() []endpoint.Incarnation { return nil },
		AddLeavingEndpoint: func(endpoint.Incarnation) bool { return false },
		RefreshDirectory:   func(context.Context) error { return nil },
		Logger:             log.NewNopLogger(),
	})
	run(t, local.Serve)
	c.ReportCrash(blame.Crash{Endpoint: "e", Attempt: "a", Keys: []blame.Key{"part:y"}})
	scheduled := newConvictingScheduler(t, nil)
	var other broadcasts
	scheduled.Join(&scheduler.Hello{Host: "other"}, other.deliver)
	link := &localLink{host: "host", localScheduler: scheduled, deliver: (&mailbox{client: c}).deliver}
	c.attach(link)
	awaitTrue(t, "conviction passed on", func() bool { return other.convicted() == "part:x;" })
	for i := range 6 {
		scheduled.Handle("other", &HostMessage{Crash: &blame.Crash{Endpoint: fmt.Sprint(i), Attempt: fmt.Sprint(i), Endpoints: 20, Keys: []blame.Key{"part:y"}, Age: time.Duration(1+i) * time.Second}})
	}
	awaitTrue(t, "conviction by old and new reports", func() bool { return other.convicted() == "part:x;part:y;" })
}
