package keeper

import "context"

// maxLocateHosts is the maximum number of ranked hosts to query in one search.
const maxLocateHosts = 5

// leaderSearch is one search for a partition's leader. missing is passed on to
// the queried hosts: an earlier search has found no leader. probed holds the
// hosts that were queried already.
type leaderSearch struct {
	client    *Client
	partition int
	missing   bool
	probed    map[string]bool
}

// probe queries a host, and then the lease holder that the host reports. It
// returns the address of the one that leads, or "".
func (s *leaderSearch) probe(ctx context.Context, name string) string {
	if name == "" || s.probed[name] || ctx.Err() != nil {
		return ""
	}
	s.probed[name] = true
	if name == s.client.keeper.opts.Host {
		// callOnce has found that this host does not lead. The call is made only
		// because it reports a missing leader to the partition.
		s.client.keeper.location(s.partition, s.missing)
		return ""
	}
	host, found := s.client.keeper.opts.View().ByName(name)
	if !found {
		return ""
	}
	l, err := s.client.locate(ctx, s.partition, host.Address, s.missing)
	switch {
	case err != nil:
		return ""
	case l.Leads:
		return host.Address
	default:
		return s.probe(ctx, l.Holder)
	}
}

// candidates returns the hosts to query, in order: the last known lease holder,
// then the first maxLocateHosts hosts by rank, which are the next to become
// leader.
func (c *Client) candidates(partition int) []string {
	p := c.keeper.partitions[partition]
	names := []string{p.Holder()}
	for i, h := range p.ranking.ordered(c.keeper.opts.View(), p.stream) {
		if i == maxLocateHosts {
			break
		}
		names = append(names, h.Name)
	}
	return names
}
