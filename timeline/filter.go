package timeline

import "net/url"

// Names of the query parameters that carry a Filter.
const (
	parameterRequest  = "request"
	parameterJob      = "job"
	parameterEndpoint = "endpoint"
)

// Filter selects events. An empty field selects any; all fields have to match.
type Filter struct {
	Request  string
	Job      string
	Endpoint string
}

// FilterOf reads a Filter from query parameters.
func FilterOf(v url.Values) Filter {
	return Filter{
		Request:  v.Get(parameterRequest),
		Job:      v.Get(parameterJob),
		Endpoint: v.Get(parameterEndpoint),
	}
}

// Values returns the query parameters that FilterOf reads.
func (f Filter) Values() url.Values {
	v := make(url.Values)
	for name, value := range map[string]string{
		parameterRequest:  f.Request,
		parameterJob:      f.Job,
		parameterEndpoint: f.Endpoint,
	} {
		if value != "" {
			v.Set(name, value)
		}
	}
	return v
}

// Matches reports whether f selects e.
func (f Filter) Matches(e *Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Job == "" || f.Job == e.Job) &&
		(f.Endpoint == "" || f.Endpoint == e.Endpoint)
}
