package keeper

import (
	"context"
	"sync"

	"github.com/peridotmount/peridotmount/keeper/core"
)

// worker runs the items that a partition's core starts.
type worker struct {
	partition *Partition

	mu      sync.Mutex
	running map[core.ItemKey]*execution
}

// execution is an in-flight run of an item. Its address distinguishes it from a
// later run of the same item.
type execution struct {
	cancel context.CancelFunc
}

func newWorker(p *Partition) *worker {
	return &worker{partition: p, running: make(map[core.ItemKey]*execution)}
}

// start runs an item in a new goroutine until it ends or is stopped.
func (w *worker) start(callCtx context.Context, t core.Task) {
	ctx, cancel := context.WithCancel(callCtx)
	e := &execution{cancel: cancel}
	w.mu.Lock()
	w.running[t.Key] = e
	w.mu.Unlock()
	go w.run(ctx, callCtx, t, e)
}

func (w *worker) run(ctx, callCtx context.Context, t core.Task, e *execution) {
	defer e.cancel()
	run := task{Task: t, partition: w.partition}
	outcome := run.execute(ctx)
	w.mu.Lock()
	current := w.running[t.Key] == e
	if current {
		delete(w.running, t.Key)
	}
	w.mu.Unlock()
	if current {
		_ = w.partition.inputs.Put(callCtx, itemEnded{outcome: outcome})
	}
}

// stop cancels the run of an item; its outcome is discarded.
func (w *worker) stop(key core.ItemKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.running[key]; e != nil {
		delete(w.running, key)
		e.cancel()
	}
}
