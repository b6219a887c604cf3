package membership

import "github.com/peridotmount/peridotmount/platform"

// homes finds the homes of endpoints among the live hosts of the system.
type homes struct {
	all      []platform.Host
	byZone   map[string][]platform.Host
	byRegion map[string][]platform.Host
}

func newHomes(system []platform.Host) *homes {
	h := &homes{
		all:      system,
		byZone:   make(map[string][]platform.Host),
		byRegion: make(map[string][]platform.Host),
	}
	for _, host := range system {
		zone := host.Region + "\x00" + host.Zone
		h.byZone[zone] = append(h.byZone[zone], host)
		h.byRegion[host.Region] = append(h.byRegion[host.Region], host)
	}
	return h
}

// of returns the home of an endpoint, if there is any host.
func (h *homes) of(endpoint *platform.Host) (platform.Host, bool) {
	near := h.byZone[endpoint.Region+"\x00"+endpoint.Zone]
	if len(near) == 0 {
		near = h.byRegion[endpoint.Region]
	}
	if len(near) == 0 {
		near = h.all
	}
	if len(near) == 0 {
		return platform.Host{}, false
	}
	return near[first(endpoint.Name, near)], true
}
