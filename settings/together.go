package settings

// checkTogether notes faults between settings of different keys.
func checkTogether(r *reader, s *Settings) {
	r.require(s.Ledger.LeaseMargin < s.Ledger.LeaseTTL, "ledger.lease_margin is not below ledger.lease_ttl")
	listeners := []struct{ name, address string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.operators", s.Listen.Operators},
		{"listen.peers", s.Listen.Peers},
	}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			same := a.address == b.address && a.address != "" && !anyPort(a.address)
			r.require(!same, a.name+" and "+b.name+" are the same address")
		}
	}
}
