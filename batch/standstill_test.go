package batch

import (
	"context"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/standin"
)

// TestItemEndsWhileItsInputIsRead has an item's job end, its result be recorded or its route change between
// the start of a run and the end of the read of its input, as for a host that stands still meanwhile. The
// item must not be sent to the endpoint.
func TestItemEndsWhileItsInputIsRead(t *testing.T) {
	for name, change := range map[string]func(*testing.T, context.Context, *Ledger){
		"job cancelled": func(t *testing.T, ctx context.Context, l *Ledger) {
			if err := l.Write(ctx, "cancel", &jobs.Record{Job: "j", Cancel: &jobs.Cancel{}}); err != nil {
				t.Fatal(err)
			}
		},
		"item done elsewhere": func(t *testing.T, ctx context.Context, l *Ledger) {
			if err := l.Write(ctx, "result", &jobs.Record{Job: "j", Result: &jobs.Result{Dead: true, Reason: "test"}}); err != nil {
				t.Fatal(err)
			}
		},
		"route moved to another service": func(_ *testing.T, _ context.Context, l *Ledger) {
			l.opts.Configuration = func() *route.Configuration {
				c := testConfiguration()
				c.Version, c.Routes[0].Backends[0].Service = 2, "other"
				return c
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			t.Cleanup(cancel)
			l, engine := submitJob(ctx, t, standin.ReplicaFaults{})
			lookup, lookups := l.opts.Endpoint, 0
			l.opts.Endpoint = func(id string) *endpoint.Endpoint {
				if lookups++; lookups == 2 {
					change(t, ctx, l)
					if err := l.refresh(ctx); err != nil {
						t.Fatal(err)
					}
				}
				return lookup(id)
			}
			if use := runItem(ctx, t, l); use.Outcome != scheduler.Abandoned || len(engine.Runs()) > 0 {
				t.Errorf("slot released with %+v, %d runs", use, len(engine.Runs()))
			}
		})
	}
}

// TestItemOfAJobThatEndedIsNotSentByAnOldView has a host stand still while a job is cancelled at another one.
// It goes on with a start of the job's item, before its next read of the ledger: the item must not be sent.
func TestItemOfAJobThatEndedIsNotSentByAnOldView(t *testing.T) {
	address, engine := startStoreAndEngine(t, 3)
	other, still := newStoredLedger("other", address, engine), newStoredLedger("still", address, engine)
	t.Cleanup(followLedger(t, other))
	stop := followLedger(t, still)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	items := []jobs.Item{{ID: "i", Path: "/lots-in/run", Tokens: 3, Body: []byte("q")}}
	if v, err := other.Submit(ctx, "j", "h", "/lots-in/j", items); err != nil || v != jobs.Accepted {
		t.Fatalf("verdict %v, error %v", v, err)
	}
	if err := still.refresh(ctx); err != nil {
		t.Fatal(err)
	}
	stop()
	if err := other.Write(ctx, "cancel", &jobs.Record{Job: "j", Cancel: &jobs.Cancel{}}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(standstill)
	if use := runItem(ctx, t, still); use.Outcome != scheduler.Abandoned || len(engine.Runs()) > 0 {
		t.Errorf("slot released with %+v, %d runs", use, len(engine.Runs()))
	}
}

// standstill is longer than a view of the ledger is taken for current while the store answers.
const standstill = 3100 * time.Millisecond
