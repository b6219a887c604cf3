package configcheck

import (
	"net"
	"strings"

	"github.com/peridotmount/peridotmount/route"
)

// address is what requests are matched by.
type address struct {
	host   string
	prefix string
}

func (k *checker) routes() {
	if len(k.config.Routes) == 0 {
		k.add(route.Warning, route.PlaceConfiguration, "routes", "there is no route; all requests get 404")
	}
	names := make(map[string]bool)
	first := make(map[address]string)
	for i := range k.config.Routes {
		r := &k.config.Routes[i]
		place := route.Place(route.EntryRoute, r.Name, i)
		switch {
		case r.Name == "":
			k.add(route.Warning, place, "name", "has no name; logs, metrics and batch jobs name routes")
		case names[r.Name]:
			k.add(route.Error, place, "name", "another route has this name; batch jobs and metrics would mix them up")
		}
		names[r.Name] = true
		a := address{host: r.Host, prefix: r.Prefix}
		if before, taken := first[a]; taken {
			k.add(route.Error, place, "prefix", "never matches: %s has the same host %q and prefix %q, and comes first", before, r.Host, r.Prefix)
		} else {
			first[a] = place
		}
		k.routeAddress(r, place)
		k.routeServices(r, place)
		k.routeLimits(r, place)
	}
}

func (k *checker) routeAddress(r *route.Route, place string) {
	if _, _, err := net.SplitHostPort(r.Host); err == nil {
		k.add(route.Error, place, "host", "%q never matches: host names are compared without a port", r.Host)
	}
	if strings.HasPrefix(r.Prefix, "/") && !strings.HasSuffix(r.Prefix, "/") {
		k.add(route.Warning, place, "prefix", "%q doesn't end with a slash; it also matches longer names, such as %q", r.Prefix, r.Prefix+"x")
	}
}

func (k *checker) routeServices(r *route.Route, place string) {
	total := 0
	for _, b := range r.Backends {
		total += max(0, b.Weight)
		switch {
		case b.Service == "":
			k.add(route.Error, place, "services", "has no service")
		case k.config.Services[b.Service] == nil:
			k.add(route.Error, place, "services", "service %q is not declared", b.Service)
		}
		if b.Weight < 0 {
			k.add(route.Error, place, "services", "weight %d of service %q is negative", b.Weight, b.Service)
		}
	}
	if total == 0 {
		k.add(route.Error, place, "services", "no weight is above zero; hosts send all requests to service %q", r.Backends[0].Service)
		return
	}
	for _, b := range r.Backends {
		if b.Weight == 0 {
			k.add(route.Warning, place, "services", "service %q has weight 0 and gets no requests", b.Service)
		}
	}
}
