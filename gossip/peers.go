package gossip

import "math/rand/v2"

// crossings is the number of exchanges that the hosts of one zone together
// start with other zones of the region in a round, and those of one region
// with other regions. It does not grow with the hosts, so neither do the bytes
// between zones and regions.
const crossings = 2.0

// Choose returns the hosts to exchange with in one round, drawn from r: one of
// the own zone, and now and then one of another zone and one of another region.
func Choose(self Peer, hosts []Peer, r *rand.Rand) []Peer {
	var zone, region, far []Peer
	for _, h := range hosts {
		switch {
		case h.Name == self.Name:
		case h.Region != self.Region:
			far = append(far, h)
		case h.Zone != self.Zone:
			region = append(region, h)
		default:
			zone = append(zone, h)
		}
	}
	var out []Peer
	out = draw(out, zone, 1, r)
	out = draw(out, region, crossings/float64(1+len(zone)), r)
	return draw(out, far, crossings/float64(1+len(zone)+len(region)), r)
}

func draw(out, from []Peer, probability float64, r *rand.Rand) []Peer {
	if len(from) == 0 || r.Float64() >= probability {
		return out
	}
	return append(out, from[r.IntN(len(from))])
}
