package e2e

import (
	"os"
	"sync"
)

// hostProcesses are the processes of hosts that a fleet started, those that ended too.
type hostProcesses struct {
	mu  sync.Mutex
	all []*process
}

func (h *hostProcesses) add(p *process) *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, p)
	return p
}

// keepLogs has the logs kept at the end of the test, also if it passes.
func (h *hostProcesses) keepLogs() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.all {
		p.keepsLog = true
	}
}

// counts counts what the logs tell so far.
func (h *hostProcesses) counts() (*logCounts, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := newLogCounts()
	for _, p := range h.all {
		log, err := os.ReadFile(p.log.Name())
		if err != nil {
			return nil, err
		}
		counts.add(log)
	}
	return counts, nil
}
