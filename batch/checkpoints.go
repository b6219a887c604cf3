package batch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/scheduler"
)

const (
	// minCheckpointPeriod is the shortest mean time between two checkpoints of a host. An
	// item runs for about five seconds, and the loss of its host costs about one period of
	// its progress.
	minCheckpointPeriod = 2 * time.Second
	// maxCheckpointRate bounds the checkpoints of all hosts together, per second. With two
	// calls for each checkpoint, they use a tenth of the 800 appends per second that the
	// store of the smallest site takes.
	maxCheckpointRate = 40
	// maxCheckpointHosts is the largest number of hosts at which checkpoints are written.
	// With more hosts, their cost exceeds their use: when all hosts restart, each of them
	// lists the ledger with its checkpoint records, and with the period of three hundred
	// hosts, 7.5 seconds, checkpoints save little.
	maxCheckpointHosts = 100
	// snapshotInterval is the minimum time between two snapshots that a run takes of its
	// progress for the next checkpoint.
	snapshotInterval = 400 * time.Millisecond
	// minCheckpointEvents is the number of events beyond those in the ledger from which a
	// checkpoint record is worth its cost: generating this many events again takes about
	// as long as processing the prompt again.
	minCheckpointEvents = 8
	// maxOrphanKeys bounds the keys of payloads that may have been written without a
	// record that refers to them. One record names them all.
	maxOrphanKeys = 1000
	// checkpointTimeout bounds each of the two calls of a checkpoint. Progress that was
	// not written becomes part of the next checkpoint.
	checkpointTimeout = time.Second
)

// Checkpoints periodically saves the progress of running batch items in the ledger. It
// is a suture service.
//
// It limits the work that is lost when many or all hosts are killed or lose power at
// once, while as many items run as there are slots, and these items are due within
// seconds. Without checkpoints, everything that the items produced since their start
// would have to be generated again.
type Checkpoints struct {
	ledger *Ledger
	// orphanKeys are the keys of payloads that may be in the store without a record that
	// refers to them, as their append failed or their record was not written. The next
	// record names them, so that they are deleted together with its job.
	orphanKeys []string
}

// NewCheckpoints returns a service that writes checkpoints of a ledger's items.
func NewCheckpoints(l *Ledger) *Checkpoints {
	return &Checkpoints{ledger: l}
}

// String returns the name of the service in the supervisor's log.
func (c *Checkpoints) String() string {
	return "checkpoints of batch items"
}

// Serve implements suture.Service.
func (c *Checkpoints) Serve(ctx context.Context) error {
	for {
		// The period is randomized so that hosts started together do not write at the same
		// time.
		pause := time.Duration((0.5 + rand.Float64()) * float64(checkpointPeriod(c.ledger.hosts())))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
			c.save(ctx)
		}
	}
}

// checkpointPeriod returns the mean time between two checkpoints of one host, if there
// are this many hosts.
func checkpointPeriod(hosts int) time.Duration {
	return max(minCheckpointPeriod, time.Duration(hosts)*time.Second/maxCheckpointRate)
}

// checkpointItem is the part of a checkpoint that saves one unfinished item.
type checkpointItem struct {
	ref scheduler.ItemRef
	// key is the key of the output's payload.
	key      string
	progress itemProgress
	output   jobs.Blob
}

// save writes one checkpoint of all items with enough unsaved progress: the outputs in
// one call, then the records that refer to them.
func (c *Checkpoints) save(ctx context.Context) {
	list := c.collectUnsaved()
	if len(list) == 0 || c.ledger.storeUnreachable.Load() || c.ledger.hosts() > maxCheckpointHosts {
		return
	}
	if err := c.writeOutputs(ctx, list); err != nil {
		c.logFailure("outputs", len(list), err)
		return
	}
	if err := c.writeRecords(ctx, list); err != nil {
		c.logFailure("records", len(list), err)
		return
	}
	for i := range list {
		c.ledger.progress.markSaved(list[i].ref, list[i].progress.events)
	}
	c.ledger.metrics.checkpoints.Add(float64(len(list)))
}

// collectUnsaved returns the items with enough unsaved progress, as many as fit into
// one call.
func (c *Checkpoints) collectUnsaved() []checkpointItem {
	var list []checkpointItem
	size := 0
	for ref, progress := range c.ledger.progress.unsavedItems(minCheckpointEvents) {
		if size += len(progress.output); size > maxAppendBytes {
			break
		}
		list = append(list, checkpointItem{ref: ref, key: c.ledger.newKey("output", ref.Job), progress: progress})
	}
	return list
}

// writeOutputs writes the outputs to the store and sets their locations in list. The
// error is ErrNotWritten.
func (c *Checkpoints) writeOutputs(ctx context.Context, list []checkpointItem) error {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	keys, contents := make([]string, len(list)), make([][]byte, len(list))
	for i := range list {
		keys[i], contents[i] = list[i].key, []byte(list[i].progress.output)
	}
	blobs, orphanKeys, err := c.ledger.payloads.putAll(ctx, keys, contents)
	if err != nil {
		c.addOrphanKeys(orphanKeys)
		return err
	}
	for i := range list {
		list[i].output = blobs[i]
	}
	list[0].output.OrphanKeys, c.orphanKeys = c.orphanKeys, nil
	return nil
}

// writeRecords writes the records that refer to the outputs. If the call fails without
// an answer, the records may have been written nevertheless. If they were certainly not
// written, the outputs are noted as orphans.
func (c *Checkpoints) writeRecords(ctx context.Context, list []checkpointItem) error {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	records := make([][]byte, len(list))
	for i := range list {
		record, err := c.ledger.encodeRecord("partial", &jobs.Record{Job: list[i].ref.Job, Partial: &jobs.Partial{
			Item: list[i].ref.Item, Events: list[i].progress.events, Output: list[i].output, Version: list[i].progress.version,
		}})
		if err != nil {
			return err
		}
		records[i] = record.encode(0)
	}
	_, err := c.ledger.opts.Store.Append(ctx, platform.TopicJobs, records)
	if err != nil && !mayBeWritten(err) {
		for i := range list {
			c.addOrphanKeys(list[i].output.Keys())
		}
	}
	return err
}

// addOrphanKeys notes the keys of payloads that no record refers to. If there are more
// than maxOrphanKeys, the oldest are forgotten and their payloads stay in the store.
func (c *Checkpoints) addOrphanKeys(keys []string) {
	c.orphanKeys = append(c.orphanKeys, keys...)
	c.orphanKeys = c.orphanKeys[max(0, len(c.orphanKeys)-maxOrphanKeys):]
}

func (c *Checkpoints) logFailure(part string, items int, err error) {
	_ = level.Info(c.ledger.opts.Logger).Log("event", "checkpoint_failed", "part", part, "items", items, "err", err)
}
