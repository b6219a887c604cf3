package gateway

import (
	"github.com/peridotmount/peridotmount/detour"
	"github.com/peridotmount/peridotmount/slots"
)

// watchedSlot is the slot of a batch item. An endpoint that stalls may be one that this host no
// longer reaches.
type watchedSlot struct {
	slots.RunnerSlot
	links *detour.Links
}

// ReportStalled implements slots.RunnerSlot.
func (s *watchedSlot) ReportStalled() {
	s.links.Suspect()
	s.RunnerSlot.ReportStalled()
}
