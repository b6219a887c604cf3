package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/peridotmount/peridotmount/standin"
)

const (
	// invoiceKeys is the number of keyed invoices of the test.
	invoiceKeys = 30
	// invoiceDelayMillis is how long an invoice takes after it ran, so that a
	// host is killed with calls in progress.
	invoiceDelayMillis = 30
	// invoiceSendings bounds the sendings of one key to one host.
	invoiceSendings = 40
	sendingPause    = 100 * time.Millisecond
)

// invoiceKind tells what an operation of the history was.
type invoiceKind int

const (
	// invoiceRan is a run, as the endpoint noted it.
	invoiceRan invoiceKind = iota
	// invoiceAnswered is a caller's whole answer.
	invoiceAnswered
	// invoiceNotRun is a caller's answer that says not-run.
	invoiceNotRun
)

// invoiceOp is the input of one operation; its output is the answer.
type invoiceOp struct {
	key  string
	kind invoiceKind
}

// invoiceState is the state of one key: a register that is set once.
type invoiceState struct {
	ran    bool
	answer string
}

// invoiceModel allows each key one run, one answer, given after the run
// however often, and not-run only while it has not run. Answers that say
// unknown allow everything and are left out.
var invoiceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(invoiceOp).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return invoiceState{} },
	Step: func(state, input, output any) (bool, any) {
		s, answer := state.(invoiceState), output.(string)
		switch input.(invoiceOp).kind {
		case invoiceRan:
			legal := !s.ran
			s.ran = true
			return legal, s
		case invoiceAnswered:
			legal := s.ran && (s.answer == "" || s.answer == answer)
			s.answer = answer
			return legal, s
		default:
			return !s.ran, s
		}
	},
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v: %s", input, output)
	},
}

// invoiceHistory gathers the operations of all clients.
type invoiceHistory struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *invoiceHistory) add(client int, op invoiceOp, output string, call, ret int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Output: output, Call: call, Return: ret})
}

func (h *invoiceHistory) count(kind invoiceKind) int {
	n := 0
	for _, op := range h.ops {
		if op.Input.(invoiceOp).kind == kind {
			n++
		}
	}
	return n
}

// invoiceReply is what one sending brought: code 0 is no answer at all.
type invoiceReply struct {
	code  int
	state string
	body  string
}

// final tells that sending again brings nothing new.
func (r invoiceReply) final() bool {
	return r.code == http.StatusOK || strings.Contains(r.body, "outcome_unknown")
}

// sendInvoice sends one key to one host and notes what it was told.
func (h *invoiceHistory) sendInvoice(client int, d *daemon, key string) invoiceReply {
	call := time.Now().UnixNano()
	r := postInvoice(d, key)
	ret := time.Now().UnixNano()
	switch {
	case r.code == http.StatusOK && r.state == "completed":
		h.add(client, invoiceOp{key, invoiceAnswered}, r.body, call, ret)
	case r.state == "not-run":
		h.add(client, invoiceOp{key, invoiceNotRun}, "", call, ret)
	}
	return r
}

func postInvoice(d *daemon, key string) invoiceReply {
	ctx, cancel := context.WithTimeout(context.Background(), patience/2)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.callers+"/svc/invoices/new", strings.NewReader(key))
	if err != nil {
		return invoiceReply{}
	}
	req.Header.Set("Authorization", "Bearer "+shopKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return invoiceReply{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return invoiceReply{}
	}
	return invoiceReply{code: resp.StatusCode, state: resp.Header.Get("Peridotmount-Run-State"), body: string(body)}
}

func (f *fleet) invoices() *endpoint {
	f.t.Helper()
	for _, e := range f.plain {
		if e.host.Service == "invoices" {
			return e
		}
	}
	f.t.Fatal("no endpoint of invoices")
	return nil
}

// TestEntryInvoicesOnce sends keyed invoices, which must not run twice, to
// every host at once while something fails, and checks the history of all
// clients together with the endpoint's own list of runs.
func TestEntryInvoicesOnce(t *testing.T) {
	t.Run("host killed", func(t *testing.T) {
		checkInvoices(t, func(f *fleet) {
			f.daemons[0].kill()
			f.unlist(f.daemons[0].name)
		})
	})
	t.Run("host frozen and thawed", func(t *testing.T) {
		checkInvoices(t, func(f *fleet) {
			f.daemons[0].freeze()
			time.Sleep(frozenFor)
			f.daemons[0].thaw()
		})
	})
	t.Run("log out, then its answers lost", func(t *testing.T) {
		checkInvoices(t, func(f *fleet) {
			f.storeFaults(standin.StoreFaults{Outage: standin.OutageBusy})
			time.Sleep(logFaultFor)
			f.storeFaults(standin.StoreFaults{LoseAnswers: lostAnswers})
			time.Sleep(logFaultFor)
			f.storeFaults(standin.StoreFaults{})
		})
	})
}

const (
	// frozenFor is longer than a lease.
	frozenFor = 5 * time.Second
	// lostAnswers is the number of appends that take effect without an answer.
	lostAnswers = 200
	// logFaultFor is longer than the wait for a start record.
	logFaultFor = 3 * time.Second
)

// checkInvoices plays fail once some invoices have run.
func checkInvoices(t *testing.T, fail func(*fleet)) {
	f := newFleet(t, fleetOptions{daemons: 4})
	plain := f.invoices()
	h := &invoiceHistory{}
	refuseAll(t, f, h, plain)
	sendAll(t, f, h, plain, fail)
	settled := settleAll(t, f, h)
	var runs []standin.PlainRun
	f.call(http.MethodGet, plain.host.Address+"/standin/runs", nil, &runs)
	ran := make(map[string]int)
	for _, r := range runs {
		if r.Path != "/new" {
			continue
		}
		ran[r.Body]++
		h.add(0, invoiceOp{r.Body, invoiceRan}, "", r.UnixNanos, r.UnixNanos)
	}
	for key, n := range ran {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	if porcupine.CheckOperationsTimeout(invoiceModel, h.ops, patience) != porcupine.Ok {
		t.Error("the history of the keys is not that of registers set once")
	}
	t.Logf("%d runs, %d whole answers, %d not-run, %d keys unknown", h.count(invoiceRan), h.count(invoiceAnswered), h.count(invoiceNotRun), settled)
	if h.count(invoiceNotRun) < invoiceKeys || len(ran) < invoiceKeys/2 {
		t.Error("the history shows too little")
	}
}

// refuseAll sends each key while the endpoint refuses all calls, so that every
// answer says not-run.
func refuseAll(t *testing.T, f *fleet, h *invoiceHistory, plain *endpoint) {
	t.Helper()
	f.call(http.MethodPut, plain.host.Address+"/standin/faults", standin.PlainFaults{Refuse: true}, nil)
	for i := range invoiceKeys {
		key := invoiceKey(i)
		eventually(t, key+" refused as not run", func() bool {
			return h.sendInvoice(0, f.daemons[i%len(f.daemons)], key).state == "not-run"
		})
	}
	f.call(http.MethodPut, plain.host.Address+"/standin/faults", standin.PlainFaults{DelayMillis: invoiceDelayMillis}, nil)
}

func invoiceKey(i int) string {
	return fmt.Sprintf("invoice-%02d", i)
}

// sendAll sends all keys to all hosts at once and lets something fail as soon as
// some have run.
func sendAll(t *testing.T, f *fleet, h *invoiceHistory, plain *endpoint, fail func(*fleet)) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range invoiceKeys {
		for n, d := range f.daemons {
			client := 1 + i*len(f.daemons) + n
			wg.Go(func() {
				for range invoiceSendings {
					if r := h.sendInvoice(client, d, invoiceKey(i)); r.final() || r.code == 0 {
						return
					}
					time.Sleep(sendingPause)
				}
			})
		}
	}
	eventually(t, "some invoices ran", func() bool {
		var runs []standin.PlainRun
		f.call(http.MethodGet, plain.host.Address+"/standin/runs", nil, &runs)
		return len(runs) >= invoiceKeys/6
	})
	fail(f)
	wg.Wait()
}

// settleAll sends each key until its answer is final, and returns the number of
// keys whose outcome is unknown.
func settleAll(t *testing.T, f *fleet, h *invoiceHistory) int {
	t.Helper()
	unknown := 0
	for i := range invoiceKeys {
		var last invoiceReply
		defer func() {
			if t.Failed() && !last.final() {
				t.Logf("last answer of %s: %+v", invoiceKey(i), last)
			}
		}()
		eventually(t, invoiceKey(i)+" settled", func() bool {
			last = h.sendInvoice(0, f.daemons[1+i%(len(f.daemons)-1)], invoiceKey(i))
			return last.final()
		})
		if last.code != http.StatusOK {
			unknown++
		}
	}
	return unknown
}
