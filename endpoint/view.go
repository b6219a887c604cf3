package endpoint

// View is an immutable snapshot of a Table.
type View struct {
	byService map[string][]*Endpoint
	byID      map[string]*Endpoint
	ready     []*Endpoint
}

// NewView returns a View of endpoints.
func NewView(endpoints []Endpoint) *View {
	v := &View{byService: make(map[string][]*Endpoint), byID: make(map[string]*Endpoint, len(endpoints))}
	for i := range endpoints {
		e := &endpoints[i]
		v.byID[e.ID] = e
		if e.State == Ready {
			v.byService[e.Service] = append(v.byService[e.Service], e)
			v.ready = append(v.ready, e)
		}
	}
	return v
}

// Ready returns the endpoints of a service that accept new work.
func (v *View) Ready(service string) []*Endpoint {
	return v.byService[service]
}

// AllReady returns the endpoints of all services that accept new work.
func (v *View) AllReady() []*Endpoint {
	return v.ready
}

// Endpoint returns an endpoint by its id, or nil.
func (v *View) Endpoint(id string) *Endpoint {
	return v.byID[id]
}

// Len returns the number of endpoints.
func (v *View) Len() int {
	return len(v.byID)
}
