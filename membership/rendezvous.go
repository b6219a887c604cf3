package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmount/peridotmount/platform"
)

// score is a host's rank for key by rendezvous hashing; the highest is first.
func score(key, host string) uint64 {
	return xxhash.Sum64String(key + "\x00" + host)
}

// first returns the index of the host that ranks first for key; hosts must not
// be empty.
func first(key string, hosts []platform.Host) int {
	best := 0
	bestScore := score(key, hosts[0].Name)
	for i := 1; i < len(hosts); i++ {
		if s := score(key, hosts[i].Name); s > bestScore {
			best = i
			bestScore = s
		}
	}
	return best
}

// Preferred returns the name of the host that ranks first for key by
// rendezvous hashing, or "" without hosts.
func Preferred(key string, hosts []platform.Host) string {
	if len(hosts) == 0 {
		return ""
	}
	return hosts[first(key, hosts)].Name
}

// Ranked returns the hosts in the order in which they should take over what
// key names; the first is the Preferred one.
func Ranked(key string, hosts []platform.Host) []platform.Host {
	type ranked struct {
		host  int
		score uint64
	}
	order := make([]ranked, len(hosts))
	for i := range hosts {
		order[i] = ranked{host: i, score: score(key, hosts[i].Name)}
	}
	sort.SliceStable(order, func(i, j int) bool { return order[i].score > order[j].score })
	out := make([]platform.Host, len(hosts))
	for i := range order {
		out[i] = hosts[order[i].host]
	}
	return out
}
