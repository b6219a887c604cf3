// Package logring writes log lines from a goroutine of its own, through a bounded
// ring: whoever logs never waits for the reader of the log.
package logring

import (
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/ring"
)

// Lines is how many lines wait to be written at most: some seconds of a host's
// peak, in about a megabyte.
const Lines = 4096

// flushEvery is the time between two reports of lines that were dropped.
const flushEvery = time.Second

// Writer is an io.Writer that takes one line a call. Lines that find the ring full
// are dropped and counted; the count is logged. It is a suture service.
type Writer struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
	metric  prometheus.Counter
}

// New returns a Writer to out. A nil registerer takes no metrics.
func New(out io.Writer, r prometheus.Registerer) *Writer {
	w := &Writer{
		out:   out,
		lines: ring.New[[]byte](Lines),
		metric: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_log_lines_dropped_total",
			Help: "Log lines that were dropped, as the log was not read fast enough.",
		}),
	}
	if r != nil {
		r.MustRegister(w.metric)
	}
	return w
}

// Write implements io.Writer. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	if w.lines.Offer(append([]byte(nil), line...)) != nil {
		w.dropped.Add(1)
		w.metric.Inc()
	}
	return len(line), nil
}

// String names the service to its supervisor.
func (w *Writer) String() string {
	return "log"
}

// Serve implements suture.Service.
func (w *Writer) Serve(ctx context.Context) error {
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case line := <-w.lines.C():
			err = w.write(line)
		case <-tick.C:
			err = w.reportDropped()
		}
		if err != nil {
			return err
		}
	}
}

// Flush writes what is in the ring.
func (w *Writer) Flush() error {
	for {
		select {
		case line := <-w.lines.C():
			if err := w.write(line); err != nil {
				return err
			}
		default:
			return w.reportDropped()
		}
	}
}

// write writes a line, and with it those that wait behind.
func (w *Writer) write(line []byte) error {
	for n := w.lines.Len(); n > 0; n-- {
		line = append(line, <-w.lines.C()...)
	}
	_, err := w.out.Write(line)
	return errors.Wrap(err, "write log")
}

func (w *Writer) reportDropped() error {
	n := w.dropped.Swap(0)
	if n == 0 {
		return nil
	}
	line, err := json.Marshal(struct {
		Event string `json:"event"`
		Lines int64  `json:"lines"`
	}{"log_lines_dropped", n})
	if err != nil {
		return errors.Wrap(err, "encode log line")
	}
	return w.write(append(line, '\n'))
}
