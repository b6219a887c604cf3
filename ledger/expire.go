package ledger

const (
	// sweepIntervalMillis is the minimum time between two expiry sweeps, measured
	// in the partition's time.
	sweepIntervalMillis = 60 * millisPerSecond
	// uploadIdleMillis is the time without a new chunk after which an uncommitted
	// upload is deleted.
	uploadIdleMillis = 60 * 60 * millisPerSecond
	// maxTimeStepMillis limits how far one record advances the partition's time.
	// Without the limit, a leader whose clock is far ahead would make everything
	// expire at once.
	maxTimeStepMillis = 10 * millisPerSecond
)

// advanceTime advances the partition's time and deletes the files, jobs and keyed
// requests that have expired. The time comes from valid records only, so every reader
// deletes the same objects at the same offset.
func (s *State) advanceTime(millis int64) {
	if s.firstMillis == 0 {
		s.firstMillis = millis
		s.Now = millis
	}
	s.Now = max(s.Now, min(millis, s.Now+maxTimeStepMillis))
	if s.Now-s.sweptMillis < sweepIntervalMillis {
		return
	}
	s.sweptMillis = s.Now
	for id, f := range s.files {
		if f.expired(s.Now) {
			delete(s.files, id)
		}
	}
	for id, j := range s.jobs {
		if j.Status != JobRunning && ttlElapsed(j.endedMillis, j.TTLSeconds, s.Now) {
			delete(s.jobs, id)
		}
	}
	for id, r := range s.requests {
		if ttlElapsed(r.StartMillis, r.TTLSeconds, s.Now) {
			delete(s.requests, id)
		}
	}
}

func (f *File) expired(now int64) bool {
	if !f.Committed {
		return now-f.changedMillis > uploadIdleMillis
	}
	return ttlElapsed(f.changedMillis, f.TTLSeconds, now)
}

// ttlElapsed reports whether more than ttl seconds lie between since and now, both
// in milliseconds; a ttl of 0 never elapses.
func ttlElapsed(since, ttl, now int64) bool {
	return ttl > 0 && now-since > ttl*millisPerSecond
}
