package configcheck

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/peridotmount/peridotmount/route"
)

// field is a field of an entry in the project's terms, with its value as text.
type field struct {
	name  string
	value string
}

func routeFields(r *route.Route) []field {
	return []field{
		{"host", strconv.Quote(r.Host)},
		{"prefix", strconv.Quote(r.Prefix)},
		{"kind", r.Kind.String()},
		{"services", backends(r)},
		{"attempts", strconv.Itoa(r.MaxAttempts)},
		{"timeout", r.Timeout.String()},
		{"objective", r.Objective.String()},
		{"event gap", r.EventGap.String()},
		{"priority", strconv.Itoa(r.Priority)},
		{"resumable", strconv.FormatBool(r.Resumable)},
		{"public", strconv.FormatBool(r.Public)},
		{"generates", strconv.FormatBool(r.Generates)},
		{"window", r.Window.String()},
		{"retention", r.Retention.String()},
		{"waiting tokens", strconv.FormatInt(r.WaitingTokens, 10)},
	}
}

func backends(r *route.Route) string {
	out := make([]string, 0, len(r.Backends))
	for _, b := range r.Backends {
		out = append(out, fmt.Sprintf("%q weight %d", b.Service, b.Weight))
	}
	return strings.Join(out, ", ")
}

func serviceFields(s *route.Service) []field {
	e := s.Engine
	if e == nil {
		e = &route.Engine{}
	}
	return []field{
		{"health path", strconv.Quote(s.HealthPath)},
		{"connections", strconv.Itoa(s.MaxConnections)},
		{"engine", strconv.FormatBool(s.Engine != nil)},
		{"slots", strconv.Itoa(e.Slots)},
		{"cache tokens", strconv.FormatInt(e.CacheTokens, 10)},
		{"tokens per event", strconv.Itoa(e.TokensPerEvent)},
	}
}

func workspaceFields(w *route.Workspace) []field {
	priority := "of the route"
	if w.Priority != nil {
		priority = strconv.Itoa(*w.Priority)
	}
	return []field{
		{"priority", priority},
		{"rate", strconv.FormatFloat(w.RequestsPerSecond, 'g', -1, 64)},
		{"burst", strconv.FormatFloat(w.Burst, 'g', -1, 64)},
	}
}

func limitFields(l *route.Limits) []field {
	return []field{
		{"header bytes", strconv.Itoa(l.HeaderBytes)},
		{"body bytes", strconv.FormatInt(l.BodyBytes, 10)},
		{"header timeout", l.HeaderTimeout.String()},
		{"idle timeout", l.IdleTimeout.String()},
	}
}
