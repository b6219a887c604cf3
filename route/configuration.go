package route

import (
	"net"
	"strings"
)

// Configuration is one version of what the operator published.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits

	// byHost holds the routes of a host name, longest prefix first.
	byHost map[string][]*Route
	byName map[string]*Route
}

// Index prepares the lookups; it is called once, before the first of them.
func (c *Configuration) Index() {
	c.byHost = make(map[string][]*Route)
	c.byName = make(map[string]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byName[r.Name] = r
		c.byHost[r.Host] = insertByLength(c.byHost[r.Host], r)
	}
}

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

// Match returns the route of a request, or nil.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Route returns a route by its name, or nil.
func (c *Configuration) Route(name string) *Route {
	return c.byName[name]
}

// Serves reports whether the host name has any route.
func (c *Configuration) Serves(host string) bool {
	return len(c.byHost[hostName(host)]) > 0
}

// hostName strips the port and the case of a Host header.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
