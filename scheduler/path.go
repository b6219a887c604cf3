package scheduler

import "time"

const (
	// pathFailures is after how many failures of one host in a row, while others succeed, its path
	// to the endpoint is taken for the cause.
	pathFailures = 2
	// pathMemory is how long the failures of a path count.
	pathMemory = 10 * time.Second
	// maxPaths bounds the paths of a host with failures.
	maxPaths = 128
	// doubtedFailures and doubtedShare are from how many failures, and which share of its uses, a
	// host's own links are doubted, if it is doubtedRatio times the share of its service.
	doubtedFailures = 4
	doubtedShare    = 0.3
	doubtedRatio    = 4
	// minOtherUses is how many times the uses of a host its service must have had for that.
	minOtherUses = 3
)

// pathState is how the uses of an endpoint by one host ended.
type pathState struct {
	// failures counts the failures in a row, the last of which was granted at granted.
	failures int
	granted  time.Time
	last     time.Time
	// bad means that the failures count against the path; the host isn't given the endpoint
	// before until, and then repeatable work first.
	bad   bool
	until time.Time
}

// block marks the path as bad, for longer each time.
func (p *pathState) block(now time.Time) {
	p.bad = true
	p.until = now.Add(max(trialDelays[2], trialDelays[min(p.failures, len(trialDelays)-1)]))
}

// pathFailed counts a failure of a host at an endpoint.
func (m *member) pathFailed(now, granted time.Time, endpoint string) *pathState {
	p := m.paths[endpoint]
	if p == nil || now.Sub(p.last) > pathMemory {
		for id, o := range m.paths {
			if now.Sub(o.last) > pathMemory {
				delete(m.paths, id)
			}
		}
		p = &pathState{}
		if m.paths == nil {
			m.paths = make(map[string]*pathState)
		}
		if len(m.paths) < maxPaths {
			m.paths[endpoint] = p
		}
	}
	p.failures++
	p.last = now
	if granted.After(p.granted) {
		p.granted = granted
	}
	return p
}

// pathSucceeded ends the failures of a path.
func (m *member) pathSucceeded(granted time.Time, endpoint string) {
	if p := m.paths[endpoint]; p != nil && granted.After(p.granted) {
		delete(m.paths, endpoint)
	}
}

// pathAdmits reports whether a host may get work at an endpoint, by its own failures there.
func (m *member) pathAdmits(now time.Time, endpoint string, repeatable bool) bool {
	p := m.paths[endpoint]
	if p == nil || !p.bad || now.Sub(p.last) > pathMemory {
		return true
	}
	return repeatable && !now.Before(p.until)
}

// doubted reports whether a host fails a large part of its requests while others succeed, so that
// its failures say nothing of endpoints.
func (m *member) doubted(now time.Time, v *service) bool {
	failed, used := m.failed.at(now, failureWindow), m.used.at(now, failureWindow)
	if failed < doubtedFailures || failed < doubtedShare*used {
		return false
	}
	otherUses := v.allUses.at(now, failureWindow) - used
	otherFailures := max(0, v.allFailures.at(now, failureWindow)-failed)
	return otherUses >= minOtherUses*used && failed/used >= doubtedRatio*otherFailures/otherUses
}
