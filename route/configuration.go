package route

import (
	"net"
	"strings"
)

// Configuration is one published version of the routing configuration.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// Workspaces are the customers whose requests carry keys; nil if requests need none.
	Workspaces []Workspace

	// byHost maps a host name to its routes, longest prefix first.
	byHost map[string][]*Route
	byName map[string][]*Route
	byKey  map[KeyHash]*Workspace
}

// Index builds the lookup tables. It must be called once, before the first lookup.
func (c *Configuration) Index() {
	c.byHost = make(map[string][]*Route)
	c.byName = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byName[r.Name] = append(c.byName[r.Name], r)
		c.byHost[r.Host] = insertByLength(c.byHost[r.Host], r)
	}
	c.byKey = make(map[KeyHash]*Workspace)
	for i := range c.Workspaces {
		for _, h := range c.Workspaces[i].Keys {
			c.byKey[h] = &c.Workspaces[i]
		}
	}
}

// insertByLength inserts r into routes, which are in descending order of prefix length.
func insertByLength(routes []*Route, r *Route) []*Route {
	at := 0
	for at < len(routes) && len(routes[at].Prefix) >= len(r.Prefix) {
		at++
	}
	routes = append(routes, nil)
	copy(routes[at+1:], routes[at:])
	routes[at] = r
	return routes
}

// Match returns the route with the longest matching prefix for a request, or nil.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Route returns the route with the given name, the last one if there are several, or nil.
func (c *Configuration) Route(name string) *Route {
	routes := c.byName[name]
	if len(routes) == 0 {
		return nil
	}
	return routes[len(routes)-1]
}

// JobRoute returns the route of a batch job in this version, or nil if it has ended. The name is that of the route
// through which the job was accepted. It alone identifies a route over versions: the prefix, the host, the services
// and the limits may change, while the path of a submission may select another route. The host and path to which
// the job was submitted only choose among routes of one name, which the check of configurations reports as an
// error, and are all that identifies a route without a name.
func (c *Configuration) JobRoute(name, host, path string) *Route {
	host = hostName(host)
	var out *Route
	for _, r := range c.byName[name] {
		switch {
		case r.Kind != Batch:
		case r.Host == host && strings.HasPrefix(path, r.Prefix):
			return r
		case name != "" && out == nil:
			out = r
		}
	}
	return out
}

// Serves reports whether any route exists for the host name.
func (c *Configuration) Serves(host string) bool {
	return len(c.byHost[hostName(host)]) > 0
}

// SameHost reports whether two Host headers name the same host.
func SameHost(a, b string) bool {
	return hostName(a) == hostName(b)
}

// hostName returns a Host header without its port and in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
