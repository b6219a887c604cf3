package publication

import (
	"context"
	"math/rand/v2"

	"github.com/peridotmount/peridotmount/platform"
)

// scheduler runs actors one log call at a time, in a random order that is
// reproducible from the seed.
type scheduler struct {
	rand  *rand.Rand
	log   *fakeLog
	calls chan call
	ended chan struct{}
	// now counts the steps and serves as the clock of the histories.
	now int64
}

// call is an actor's log call that waits to be scheduled.
type call struct {
	actor int
	turn  chan struct{}
}

// run starts the actors and schedules their calls until all have ended. Frozen
// actors are not scheduled for a while, unless all waiting actors are frozen.
func (s *scheduler) run(actors []func(l platform.Log)) {
	s.calls = make(chan call)
	s.ended = make(chan struct{})
	for i, actor := range actors {
		go func() {
			actor(&scheduledLog{s: s, actor: i})
			s.ended <- struct{}{}
		}()
	}
	running := len(actors)
	waiting := make([]*call, len(actors))
	frozen := make([]int64, len(actors))
	// busy counts the actors that have neither ended nor reached their next call.
	busy := running
	for running > 0 {
		for ; busy > 0; busy-- {
			select {
			case c := <-s.calls:
				waiting[c.actor] = &c
			case <-s.ended:
				running--
			}
		}
		next := s.pick(waiting, frozen)
		if next < 0 {
			continue
		}
		turn := waiting[next].turn
		waiting[next] = nil
		s.now++
		s.log.tick()
		busy = 1
		turn <- struct{}{}
	}
}

func (s *scheduler) pick(waiting []*call, frozen []int64) int {
	var runnable, candidates []int
	for i, c := range waiting {
		if c == nil {
			continue
		}
		candidates = append(candidates, i)
		if s.rand.IntN(40) == 0 {
			frozen[i] = s.now + int64(s.rand.IntN(200))
		}
		if frozen[i] <= s.now {
			runnable = append(runnable, i)
		}
	}
	if len(runnable) == 0 {
		runnable = candidates
	}
	if len(runnable) == 0 {
		return -1
	}
	return runnable[s.rand.IntN(len(runnable))]
}

// scheduledLog is one actor's client of the log.
type scheduledLog struct {
	s     *scheduler
	actor int
}

func (l *scheduledLog) wait() {
	c := call{actor: l.actor, turn: make(chan struct{})}
	l.s.calls <- c
	<-c.turn
}

func (l *scheduledLog) Append(_ context.Context, _ string, records [][]byte) (int64, error) {
	l.wait()
	return l.s.log.append(records)
}

func (l *scheduledLog) Read(_ context.Context, _ string, from int64, limit int) (platform.Page, error) {
	l.wait()
	return l.s.log.read(from, limit)
}

// fakeLog simulates the log service with outages, lost responses, delayed appends
// and trims.
type fakeLog struct {
	rand    *rand.Rand
	records [][]byte
	horizon int64
	outage  int
	delayed [][][]byte
	// calm disables new faults.
	calm bool
	// trims counts the trims, faults the calls that failed.
	trims, faults int
}

// tick starts and ends outages and lets delayed appends take effect.
func (l *fakeLog) tick() {
	l.outage = max(0, l.outage-1)
	if !l.calm && l.rand.IntN(60) == 0 {
		l.outage = l.rand.IntN(40)
	}
	if len(l.delayed) > 0 && l.rand.IntN(15) == 0 {
		l.records = append(l.records, l.delayed[0]...)
		l.delayed = l.delayed[1:]
	}
}

func (l *fakeLog) append(records [][]byte) (int64, error) {
	if l.outage > 0 {
		l.faults++
		return 0, platform.ErrUnavailable
	}
	first := int64(len(l.records))
	switch fault := l.rand.IntN(12); {
	case fault == 0 && !l.calm:
		l.faults++
		l.delayed = append(l.delayed, records)
		return 0, platform.ErrUnavailable
	case fault == 1 && !l.calm:
		l.faults++
		l.records = append(l.records, records...)
		return 0, platform.ErrUnavailable
	case fault == 2 && !l.calm:
		l.faults++
		return 0, platform.ErrThrottled
	}
	l.records = append(l.records, records...)
	return first, nil
}

func (l *fakeLog) read(from int64, limit int) (platform.Page, error) {
	if l.outage > 0 {
		l.faults++
		return platform.Page{}, platform.ErrUnavailable
	}
	end := int64(len(l.records))
	page := platform.Page{Next: from, Horizon: l.horizon, End: end}
	if from < l.horizon {
		return page, platform.ErrTrimmed
	}
	for at := from; at < min(from+int64(limit), end); at++ {
		page.Records = append(page.Records, platform.Record{Offset: at, Data: l.records[at]})
		page.Next = at + 1
	}
	return page, nil
}

// trim drops the records before an offset.
func (l *fakeLog) trim(before int64) {
	if before > l.horizon && before <= int64(len(l.records)) {
		l.horizon = before
		l.trims++
	}
}
