package ledger

func (s *State) applyRequestStart(r *RequestStart) {
	if s.requests[r.ID] != nil {
		return
	}
	s.requests[r.ID] = &Request{RequestStart: *r, StartEpoch: s.Lease.Epoch, StartMillis: s.Now}
}

func (s *State) applyRequestDone(at Place, d *RequestDone) {
	r := s.requests[d.ID]
	if r == nil || r.Done {
		return
	}
	r.Done = true
	r.Place = at
}
