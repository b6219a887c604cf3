package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Targets of the four measures.
const (
	TargetHarm      = 1.05
	TargetFreeShare = 0.95
	TargetBlocking  = 1.1
	TargetSlowed    = 1.3
)

const tablePadding = 2

// WriteTable writes the measures of fleets side by side.
func WriteTable(w io.Writer, reports []*Report) error {
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	row := func(name, target string, value func(*Report) string) {
		line := name + "\t" + target
		for _, r := range reports {
			line += "\t" + value(r)
		}
		_, _ = fmt.Fprintln(t, line)
	}
	row("measure", "target", func(r *Report) string { return r.Label })
	row("batch alone, tokens/s", "", func(r *Report) string { return number(r.Throughput.Batch.TokensPerSecond) })
	writeHarm(row)
	row("short p99 ms, no long", "", func(r *Report) string { return number(r.Blocking.Without.Total.P99) })
	row("short p99 ms, with long", "", func(r *Report) string { return number(r.Blocking.With.Total.P99) })
	row("short p99, with/without long", ratio(TargetBlocking), func(r *Report) string { return ratio(r.Blocking.P99Ratio) })
	row("online p99 ms, none slowed", "", func(r *Report) string { return number(r.Slowed.Without.Total.P99) })
	row("online p99 ms, some slowed", "", func(r *Report) string { return number(r.Slowed.With.Total.P99) })
	row("online p99, slowed/none", ratio(TargetSlowed), func(r *Report) string { return ratio(r.Slowed.P99Ratio) })
	row("answers wrong, failed, refused", "0", func(r *Report) string { return r.trouble() })
	return t.Flush()
}

func writeHarm(row func(string, string, func(*Report) string)) {
	row("online p99 ms, no batch", "", func(r *Report) string { return number(r.Harm.Without.Total.P99) })
	row("online p99 ms, full batch", "", func(r *Report) string { return number(r.Harm.With.Total.P99) })
	row("online p99, with/without batch", ratio(TargetHarm), func(r *Report) string { return ratio(r.Harm.P99Ratio) })
	row("first token p99, with/without", "", func(r *Report) string { return ratio(r.Harm.FirstTokenP99Ratio) })
	row("first token p95 ms, full batch", "910", func(r *Report) string { return number(r.Harm.With.FirstToken.P95) })
	row("between tokens p95 ms, full batch", "57", func(r *Report) string { return number(r.Harm.With.InterToken.P95) })
	row("batch share of free tokens", ratio(TargetFreeShare), func(r *Report) string { return ratio(r.Harm.FreeShare) })
}

func number(v float64) string { return fmt.Sprintf("%.0f", v) }
func ratio(v float64) string  { return fmt.Sprintf("%.2f", v) }

// trouble sums the requests of all phases that were not answered whole.
func (r *Report) trouble() string {
	phases := []*Result{
		&r.Harm.Without, &r.Harm.With, &r.Blocking.Without, &r.Blocking.With,
		&r.Blocking.Long, &r.Slowed.Without, &r.Slowed.With,
	}
	wrong, failed, refused := 0, 0, 0
	for _, p := range phases {
		wrong += p.Wrong
		failed += p.Failed
		for _, n := range p.Refused {
			refused += n
		}
	}
	return fmt.Sprintf("%d, %d, %d", wrong, failed, refused)
}
