package route

import "testing"

func indexed(routes ...Route) *Configuration {
	c := &Configuration{Routes: routes}
	c.Index()
	return c
}

func TestLongestPrefixMatches(t *testing.T) {
	c := indexed(
		Route{Name: "all", Host: "h.example", Prefix: "/"},
		Route{Name: "long", Host: "h.example", Prefix: "/a/b/"},
		Route{Name: "short", Host: "h.example", Prefix: "/a/"},
		Route{Name: "other", Host: "o.example", Prefix: "/a/"},
	)
	for _, x := range []struct{ host, path, want string }{
		{"h.example", "/a/b/c", "long"}, {"H.Example:8080", "/a/b", "short"}, {"h.example", "/ab", "all"},
		{"o.example", "/a/b/c", "other"}, {"o.example", "/", ""}, {"x.example", "/a/", ""},
	} {
		got := ""
		if r := c.Match(x.host, x.path); r != nil {
			got = r.Name
		}
		if got != x.want {
			t.Errorf("%s%s matches route %q, want %q", x.host, x.path, got, x.want)
		}
	}
	if c.Serves("x.example") || !c.Serves("O.EXAMPLE") {
		t.Error("Serves is wrong for an unknown host name, or depends on upper and lower case")
	}
}

// TestPickFollowsTheWeights checks that evenly distributed numbers select backends in
// proportion to their weights, and always the same backend for the same number.
func TestPickFollowsTheWeights(t *testing.T) {
	r := Route{Backends: []Backend{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "off", Weight: 0}}}
	got := make(map[string]int)
	const picks = 4000
	for n := range uint64(picks) {
		s := r.Pick(n)
		if s != r.Pick(n) || !r.Allows(s) {
			t.Fatalf("number %d picks %q, which is not repeatable or not a backend of the route", n, s)
		}
		got[s]++
	}
	if got["off"] > 0 || got["a"] != 3*got["b"] {
		t.Errorf("picks by service: %v, want three times as many for a as for b and none for off", got)
	}
}
