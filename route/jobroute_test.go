package route

import "testing"

// TestJobRouteIsKnownByItsName guards against items that are given up, or run by another service, because the
// path of their job selects another route than when the job was accepted.
func TestJobRouteIsKnownByItsName(t *testing.T) {
	own := Route{Name: "own", Host: "h.example", Prefix: "/in/", Kind: Batch}
	changed := func(change func(r *Route)) Route {
		r := own
		change(&r)
		return r
	}
	for _, x := range []struct {
		name   string
		job    string
		routes []Route
		// want is the index of the job's route, or -1 if that has ended.
		want int
	}{
		{"unchanged", "own", []Route{own}, 0},
		{"shadowed by a plain route", "own", []Route{{Name: "x", Host: "h.example", Prefix: "/in/a/", Kind: Idempotent}, own}, 1},
		{"shadowed by a batch route", "own", []Route{{Name: "x", Host: "h.example", Prefix: "/in/a/", Kind: Batch}, own}, 1},
		{"moved to another prefix", "own", []Route{changed(func(r *Route) { r.Prefix = "/moved/" })}, 0},
		{"moved to another host", "own", []Route{changed(func(r *Route) { r.Host = "other.example" })}, 0},
		{"moved to another host, another route in its place", "own", []Route{changed(func(r *Route) { r.Name = "x" }), changed(func(r *Route) { r.Host = "other.example" })}, 1},
		{"renamed", "own", []Route{changed(func(r *Route) { r.Name = "x" })}, -1},
		{"removed", "own", nil, -1},
		{"the name is that of another kind", "own", []Route{changed(func(r *Route) { r.Kind = Streaming })}, -1},
		{"one of two with the name is of another kind", "own", []Route{changed(func(r *Route) { r.Kind = Streaming }), changed(func(r *Route) { r.Prefix = "/moved/" })}, 1},
		{"two have the name, one selects the path", "own", []Route{changed(func(r *Route) { r.Host = "other.example" }), own}, 1},
		{"two have the name, none selects the path", "own", []Route{changed(func(r *Route) { r.Host = "a.example" }), changed(func(r *Route) { r.Host = "b.example" })}, 0},
		{"without a name", "", []Route{{Name: "x", Host: "h.example", Prefix: "/in/a/", Kind: Batch}, changed(func(r *Route) { r.Name = "" })}, 1},
		{"without a name, moved", "", []Route{changed(func(r *Route) { r.Name, r.Prefix = "", "/moved/" })}, -1},
	} {
		c := indexed(x.routes...)
		var want *Route
		if x.want >= 0 {
			want = &c.Routes[x.want]
		}
		if got := c.JobRoute(x.job, "H.example:80", "/in/a/job"); got != want {
			t.Errorf("%s: route %+v, want %+v", x.name, got, want)
		}
	}
}
