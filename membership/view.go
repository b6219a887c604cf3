package membership

import (
	"slices"
	"sync"

	"github.com/peridotmount/peridotmount/platform"
)

// View is one state of the hosts and endpoints. It is not changed once made,
// and has to be passed by pointer: its indexes are made at the first use.
type View struct {
	Hosts []platform.Host

	once    sync.Once
	system  []platform.Host
	silent  []platform.Host
	engines []platform.Host
	plain   map[string][]platform.Host
	byName  map[string]int
	homes   map[string]platform.Host
}

// System returns the live hosts of the system. The caller must not change it.
func (v *View) System() []platform.Host {
	v.once.Do(v.build)
	return v.system
}

// Silent returns the hosts of the system that are listed, and were not heard of
// lately. The caller must not change it.
func (v *View) Silent() []platform.Host {
	v.once.Do(v.build)
	return v.silent
}

// Engines returns the live model engines. The caller must not change it.
func (v *View) Engines() []platform.Host {
	v.once.Do(v.build)
	return v.engines
}

// Plain returns the live endpoints of a plain service in a slice of their own.
func (v *View) Plain(service string) []platform.Host {
	v.once.Do(v.build)
	return append([]platform.Host(nil), v.plain[service]...)
}

// ByName returns the host or endpoint of that name, live or leaving.
func (v *View) ByName(name string) (platform.Host, bool) {
	v.once.Do(v.build)
	i, found := v.byName[name]
	if !found {
		return platform.Host{}, false
	}
	return v.Hosts[i], true
}

// Home returns the host of the system that admits work to an endpoint. The
// live hosts of the endpoint's own zone come first, then those of its region,
// then any.
func (v *View) Home(endpoint platform.Host) (platform.Host, bool) {
	v.once.Do(v.build)
	if home, found := v.homes[endpoint.Name]; found {
		return home, true
	}
	return newHomes(v.system).of(&endpoint)
}

func (v *View) build() {
	v.byName = make(map[string]int, len(v.Hosts))
	v.plain = make(map[string][]platform.Host)
	v.homes = make(map[string]platform.Host)
	for i := range v.Hosts {
		h := &v.Hosts[i]
		v.byName[h.Name] = i
		switch {
		case h.State == platform.HostLive:
			v.addLive(h)
		case h.State == platform.HostSilent && h.Role == platform.RoleSystem:
			v.silent = append(v.silent, *h)
		}
	}
	v.system = slices.Clip(v.system)
	v.silent = slices.Clip(v.silent)
	v.engines = slices.Clip(v.engines)
	homes := newHomes(v.system)
	for i := range v.Hosts {
		h := &v.Hosts[i]
		if h.Role == platform.RoleSystem {
			continue
		}
		if home, found := homes.of(h); found {
			v.homes[h.Name] = home
		}
	}
}

func (v *View) addLive(h *platform.Host) {
	switch h.Role {
	case platform.RoleSystem:
		v.system = append(v.system, *h)
	case platform.RoleEngine:
		v.engines = append(v.engines, *h)
	case platform.RolePlain:
		v.plain[h.Service] = append(v.plain[h.Service], *h)
	}
}
