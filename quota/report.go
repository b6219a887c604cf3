package quota

import (
	"slices"
	"strings"
	"time"
)

// Report tells what a scheduler admitted within the last window: for one host, or for all.
type Report struct {
	// Scheduler is the Options.Self of the scheduler that admitted.
	Scheduler string `json:"scheduler"`
	// Width is the width of the bins.
	Width time.Duration `json:"width"`
	Uses  []Use         `json:"uses"`
	// Refunds are admissions of earlier reports that were taken back. While slots are short, most
	// charges are: standbys would otherwise count far more than was admitted.
	Refunds []Use `json:"refunds,omitempty"`
	// Whole means that the report replaces earlier ones of the scheduler: a standby whose session
	// is replaced would otherwise count their admissions twice.
	Whole bool `json:"whole,omitempty"`
}

// Empty reports whether the report tells nothing new.
func (r *Report) Empty() bool {
	return len(r.Uses) == 0 && len(r.Refunds) == 0 && !r.Whole
}

// Use is what was admitted of one workspace.
type Use struct {
	Workspace string `json:"w"`
	Bins      []Bin  `json:"b"`
}

// Bin is the age of a bin, in widths, and the number of admissions in it.
type Bin [2]int

// maxReportedUses and maxReportedBins bound a report, whose message is to stay below a megabyte. A
// host tells as many only if thousands of its requests per second are admitted.
const (
	maxReportedUses = 6000
	maxReportedBins = 12_000
)

// reportOf makes a report of histories that have been advanced. If there are too many, it holds
// those of the most admissions.
func reportOf(scheduler string, width time.Duration, histories map[string]*history) Report {
	r := Report{Scheduler: scheduler, Width: width}
	names := make([]string, 0, len(histories))
	for name, h := range histories {
		if h.total > 0 {
			names = append(names, name)
		}
	}
	if len(names) > maxReportedUses {
		slices.SortFunc(names, func(a, b string) int { return histories[b].total - histories[a].total })
		names = names[:maxReportedUses]
	}
	slices.SortFunc(names, strings.Compare)
	left := maxReportedBins
	for _, name := range names {
		bins := histories[name].bins()
		if left -= len(bins); left < 0 {
			break
		}
		r.Uses = append(r.Uses, Use{Workspace: name, Bins: bins})
	}
	return r
}

// addTo adds the admissions of a report to histories and takes back its refunds, now being the present bin.
func (r *Report) addTo(histories map[string]*history, now int64, width time.Duration) {
	for i := range r.Uses {
		u := &r.Uses[i]
		h := historyOf(histories, u.Workspace, now)
		for _, b := range u.Bins {
			h.add(now, now-int64(time.Duration(b[0])*r.Width/width), b[1])
		}
	}
	for i := range r.Refunds {
		u := &r.Refunds[i]
		h := histories[u.Workspace]
		if h == nil {
			continue
		}
		for _, b := range u.Bins {
			h.takeBack(now, now-int64(time.Duration(b[0])*r.Width/width), b[1])
		}
	}
}
