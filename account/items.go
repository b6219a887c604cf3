package account

import "time"

// Reasons of items that had no result in time.
const (
	jobRefused    = "the job was refused"
	acceptedLate  = "the job was accepted late"
	neverRan      = "did not run"
	madeAgain     = "late: made again what was lost"
	gaveWay       = "late: gave way to other work"
	waitedToStart = "late: waited for its first slot"
	runSlow       = "late: its run took too long"
	givenUp       = "given up after failures"
)

// job is what the logs say of a batch job.
type job struct {
	// first is when a submission of it came first, answered when one was accepted.
	first, answered time.Duration
	accepted        bool
	cancelled       bool
	items           int
	objective       time.Duration
	window          time.Duration
	runs            map[int]*history
}

// history is what the runs of an item made.
type history struct {
	runs      int
	began     time.Duration
	made      int
	lost      int
	done      time.Duration
	completed bool
	dead      bool
}

// add takes the end of a run.
func (h *history) add(l *Line) {
	if l.Outcome == "misplaced" {
		// Its host could not run it yet.
		return
	}
	begun := l.At - time.Duration(l.AfterMS)*time.Millisecond
	if h.runs++; h.runs == 1 {
		h.began = begun
	}
	h.lost += max(0, h.made-l.ResumedAt)
	h.made = l.Events
	switch {
	case l.Outcome == "done" && !h.completed:
		h.done, h.completed = l.At, true
	case l.Outcome == "dead":
		h.dead = true
	}
}

// reason returns why an item of a job was not done in time, or "" if it was.
func (j *job) reason(item int) string {
	h := j.runs[item]
	due := j.first + j.window
	switch {
	case !j.accepted:
		return jobRefused
	case j.objective > 0 && j.answered-j.first > j.objective:
		return acceptedLate
	case h == nil || h.runs == 0:
		return neverRan
	case h.dead:
		return givenUp
	case h.completed && (j.window == 0 || h.done <= due):
		return ""
	case h.lost > 0:
		return madeAgain
	case h.began-j.first > j.window/2:
		return waitedToStart
	case h.runs > 1:
		return gaveWay
	default:
		return runSlow
	}
}
