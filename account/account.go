package account

import (
	"cmp"
	"slices"
	"time"
)

// batchItem is the kind of batch items in rows.
const batchItem = "item"

// Account gathers lines of hosts' logs, in any order of hosts. The lines of one host are
// in the order of time.
type Account struct {
	// window is the width of the windows that rows are split by; zero is one for all.
	window time.Duration
	counts map[key]int
	jobs   map[string]*job
}

// key is what lines are counted by.
type key struct {
	window time.Duration
	kind   string
	reason string
}

// Row is how many requests, attempts of callers each, or items of one kind that began in
// a window were not served in time for a reason; no reason stands for those that were.
type Row struct {
	// WindowMS is the begin of the window, in milliseconds since the logs' origin.
	WindowMS int64  `json:"window_ms"`
	Kind     string `json:"kind"`
	Reason   string `json:"reason"`
	Count    int    `json:"count"`
}

// New returns an empty Account, split by windows of a width; zero is one for all.
func New(window time.Duration) *Account {
	return &Account{window: window, counts: make(map[key]int), jobs: make(map[string]*job)}
}

// Add takes a line.
func (a *Account) Add(l *Line) {
	switch l.Event {
	case "request":
		a.counts[key{a.windowOf(l.begun()), l.Kind, reasonOf(l)}]++
	case "job_call_refused":
		if l.Method == "POST" {
			a.job(l.Request, l.At)
		}
	case "job_answered":
		a.answered(l)
	case "job_cancelled":
		a.job(l.Job, l.At).cancelled = true
	case "item_run":
		j := a.job(l.Job, l.At)
		if j.runs[l.Item] == nil {
			j.runs[l.Item] = &history{}
		}
		j.runs[l.Item].add(l)
	}
}

func (a *Account) answered(l *Line) {
	after := time.Duration(l.AfterMS) * time.Millisecond
	j := a.job(l.Job, l.At-after)
	j.first = min(j.first, l.At-after)
	if j.accepted && l.At >= j.answered {
		return
	}
	j.accepted, j.answered, j.items = true, l.At, l.Items
	j.objective = time.Duration(l.ObjectiveMS) * time.Millisecond
	j.window = time.Duration(l.WindowMS) * time.Millisecond
}

// job returns a job that a line names, seen first at a time.
func (a *Account) job(id string, at time.Duration) *job {
	j := a.jobs[id]
	if j == nil {
		j = &job{first: at, runs: make(map[int]*history)}
		a.jobs[id] = j
	}
	return j
}

func (a *Account) windowOf(at time.Duration) time.Duration {
	if a.window <= 0 {
		return 0
	}
	return at.Truncate(a.window)
}

// Rows returns the counts by window, kind and, most first, reason. Items of jobs that
// callers ended are left out; a job that was refused counts as one item.
func (a *Account) Rows() []Row {
	counts := make(map[key]int, len(a.counts))
	for k, n := range a.counts {
		counts[k] = n
	}
	for _, j := range a.jobs {
		if j.cancelled {
			continue
		}
		for item := range max(1, j.items) {
			counts[key{a.windowOf(j.first), batchItem, j.reason(item)}]++
		}
	}
	rows := make([]Row, 0, len(counts))
	for k, n := range counts {
		rows = append(rows, Row{WindowMS: k.window.Milliseconds(), Kind: k.kind, Reason: k.reason, Count: n})
	}
	slices.SortFunc(rows, func(x, y Row) int {
		return cmp.Or(cmp.Compare(x.WindowMS, y.WindowMS), cmp.Compare(x.Kind, y.Kind),
			cmp.Compare(y.Count, x.Count), cmp.Compare(x.Reason, y.Reason))
	})
	return rows
}
