package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// life is what a soak knows of the endpoints' life cycles. orderSoak.mu guards it.
type life struct {
	// records are those of the endpoints that beat.
	records map[*standin.Replica]*lifeRecord
	// restarting are those in whose place another starts, or has started.
	restarting map[*standin.Replica]bool
	// written are the newest records in the store, by id, but for seq.
	written map[string]string
	// texts are those that were read, by item.
	texts map[string]string
}

// lifeRecord is what an endpoint writes of itself.
type lifeRecord struct {
	id, version, state string
	born               int64
	seq                int
	// listed tells that it has been written: a late one is not before its time.
	listed bool
}

func newLife() life {
	return life{records: make(map[*standin.Replica]*lifeRecord), restarting: make(map[*standin.Replica]bool), written: make(map[string]string), texts: make(map[string]string)}
}

// write writes an endpoint's record, which changes if more than seq does. o.mu must be held.
func (o *orderSoak) write(e *standin.Replica, l *lifeRecord) {
	l.seq++
	value := fmt.Sprintf(`{"service":"engines","address":%q,"zone":"sk-central-a","version":%q,"slots":4,"state":%q,"cold_left_ms":0,"seq":1,"born":%d`,
		e.Address(), l.version, l.state, l.born)
	if o.life.written[l.id] == value {
		return
	}
	o.life.written[l.id] = value
	o.store.Put(platform.TopicEndpoints.Name, l.id, fmt.Appendf(nil, `%s,"seq":%d}`, value, l.seq))
}

// beat has the endpoints write their records again.
func (o *orderSoak) beat(_ string, _ *rand.Rand) {
	for !o.over() {
		time.Sleep(lifeBeat)
		o.mu.Lock()
		for r, record := range o.life.records {
			if record.listed && !r.Closed() {
				o.write(r, record)
			}
		}
		o.mu.Unlock()
	}
}

// listNew writes an endpoint's first record. o.mu must be held.
func (o *orderSoak) listNew(e *standin.Replica) {
	if record := o.life.records[e]; record != nil {
		record.listed = true
		o.write(e, record)
	}
}

// unlist has an endpoint write no more, and removes its record if its id has no other.
func (o *orderSoak) unlist(e *standin.Replica) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.life.records, e)
	for _, record := range o.life.records {
		if record.id == e.ID {
			return
		}
	}
	delete(o.life.written, e.ID)
	o.store.Put(platform.TopicEndpoints.Name, e.ID, nil)
}

// incarnate starts an endpoint at an address, under an id that others may have had, without a
// record. o.mu must not be held.
func (o *orderSoak) incarnate(address, id, version string, r *rand.Rand) *standin.Replica {
	name := fmt.Sprintf("%s!%x", id, r.Uint32())
	var e *standin.Replica
	var err error
	// The end of the incarnation before may take a moment.
	for range 50 {
		e, err = standin.StartReplicaAt(address, id, soakEvents, func(e *standin.Replica) {
			e.Name, e.Pace, e.NameRuns, e.Born = name, orderPace, true, bornAt(e.Address(), r).UnixMilli()
			e.KeepStreams, e.RepeatRuns = true, true
		})
		if err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		o.t.Error(err)
		return nil
	}
	o.t.Cleanup(e.Close)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions[name], o.replicas[name] = version, e
	o.life.records[e] = &lifeRecord{id: id, version: version, state: "ready", born: e.Born}
	return e
}

// bornAt returns the start of an endpoint by its machine's clock, which is off by a time of its own
// and now and then steps.
func bornAt(address string, r *rand.Rand) time.Time {
	slack := uint64(2 * lifeSlack)
	off := xxhash.Sum64String(address) % slack
	if r.IntN(8) == 0 {
		off = r.Uint64N(slack)
	}
	return time.Now().Add(time.Duration(off) - lifeSlack)
}

// lifeRestart is how an endpoint starts again.
type lifeRestart struct {
	id, version, address string
	// late is how long its record takes, dark how long connections to the one before stay open.
	late, dark time.Duration
	// stale has a record of the one before come behind the new one's.
	stale bool
}

// startAgain starts an endpoint in the place of one that has ended.
func (o *orderSoak) startAgain(i int, old *standin.Replica, next lifeRestart, r *rand.Rand) {
	e := o.incarnate(next.address, next.id, next.version, r)
	if e == nil {
		return
	}
	o.mu.Lock()
	o.replaced = append(o.replaced, old)
	if o.engines[i] == old {
		o.engines[i] = e
	} else {
		o.replaced[len(o.replaced)-1] = e
	}
	o.mu.Unlock()
	time.Sleep(next.late)
	o.mu.Lock()
	o.listNew(e)
	if record := o.life.records[old]; next.stale && record != nil {
		o.write(old, record)
	}
	o.mu.Unlock()
	o.unlist(old)
	time.Sleep(max(0, next.dark-next.late))
	old.Reset()
}

// readOn reads jobs that were accepted from positions that were read before, or behind them.
func (o *orderSoak) readOn(_ string, r *rand.Rand) {
	for !o.over() {
		time.Sleep(20 * time.Millisecond)
		j := o.someJob(r)
		if j == nil {
			continue
		}
		o.mu.Lock()
		before := slices.Clone(j.results)
		o.mu.Unlock()
		after := r.IntN(len(before) + 1)
		g := o.gateways[r.IntN(len(o.gateways))]
		answer := g.send(http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", j.id, after), "", nil)
		if answer.err != nil || answer.status != http.StatusOK {
			continue
		}
		var shown lot
		if err := json.Unmarshal(answer.body, &shown); err != nil || shown.Total != j.items || shown.Next != after+len(shown.Results) {
			o.t.Errorf("job %s at %s after %d: %d of %d items, next %d behind %d results, error %v",
				j.id, g.name, after, shown.Total, j.items, shown.Next, len(shown.Results), err)
		}
		o.mu.Lock()
		for i, result := range shown.Results {
			if at := after + i; at < len(before) && before[at] != result.ID {
				o.t.Errorf("job %s at %s: position %d is %s and was %s", j.id, g.name, at, result.ID, before[at])
			}
			if result.State == "done" && !o.checkText(result.ID, result.Output) {
				o.t.Errorf("job %s at %s after %d: %+v", j.id, g.name, after, result)
			}
		}
		o.mu.Unlock()
	}
}
