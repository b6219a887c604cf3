package ledger

const (
	// sweepMillis is the time between two sweeps, by the records' time.
	sweepMillis = 60 * millisPerSecond
	// uploadMillis is how long an upload may stand still before it is dropped.
	uploadMillis = 60 * 60 * millisPerSecond
	// maxStepMillis is how far one record moves the time on. A leader whose
	// clock is far ahead would make everything expire at once.
	maxStepMillis = 10 * millisPerSecond
)

// advance moves the partition's time on and drops what has expired by it. As
// the time comes from valid records alone, every reader drops the same at the
// same offset.
func (s *State) advance(millis int64) {
	if s.firstMillis == 0 {
		s.firstMillis = millis
		s.Now = millis
	}
	s.Now = max(s.Now, min(millis, s.Now+maxStepMillis))
	if s.Now-s.sweptAt < sweepMillis {
		return
	}
	s.sweptAt = s.Now
	for id, f := range s.files {
		if f.expired(s.Now) {
			delete(s.files, id)
		}
	}
	for id, j := range s.jobs {
		if j.Status != JobRunning && past(j.ended, j.TTLSeconds, s.Now) {
			delete(s.jobs, id)
		}
	}
	for id, r := range s.requests {
		if past(r.StartMillis, r.TTLSeconds, s.Now) {
			delete(s.requests, id)
		}
	}
}

func (f *File) expired(now int64) bool {
	if !f.Committed {
		return now-f.touched > uploadMillis
	}
	return past(f.touched, f.TTLSeconds, now)
}

// past reports whether ttl seconds have passed since a time; 0 means for good.
func past(since, ttl, now int64) bool {
	return ttl > 0 && now-since > ttl*millisPerSecond
}
