package objects

import (
	"encoding/hex"
	"strings"
)

// Bounds and defaults of the fields of objects, and the length of a SHA-256 hash.
const (
	maxContextTokens         = 10_000_000
	defaultContextTokens     = 32_768
	maxReplicas              = 10_000
	maxResponseTokens        = 1_000_000
	defaultResponseTokens    = 4_096
	maxWeight                = 1_000
	maxRequestsPerSecond     = 1_000_000
	defaultRequestsPerSecond = 100
	maxInFlight              = 100_000
	defaultInFlight          = 200
	sha256Bytes              = 32
)

func readModel(r *fieldReader) *Model {
	return &Model{
		Name:          r.o.Name,
		ContextTokens: r.number("context_tokens", 1, maxContextTokens, defaultContextTokens),
	}
}

func readVersion(r *fieldReader) *Version {
	return &Version{Name: r.o.Name, Model: r.required("model")}
}

func readAdapter(r *fieldReader) *Adapter {
	return &Adapter{Name: r.o.Name, Model: r.required("model")}
}

func readService(r *fieldReader) *Service {
	s := &Service{
		Name:       r.o.Name,
		Kind:       ServiceKind(r.required("kind")),
		Replicas:   r.number("replicas", 1, maxReplicas, 1),
		Fallback:   r.text("fallback"),
		Fenced:     r.boolean("endpoints_check_fencing", false),
		Zones:      r.zones("zones"),
		Idempotent: true,
	}
	switch s.Kind {
	case ServiceModel:
		readModelService(r, s)
	case ServicePlain:
		s.Idempotent = r.boolean("idempotent", false)
	default:
		r.c.addFault(r.o, "kind", "kind is neither model nor plain")
	}
	return s
}

func readModelService(r *fieldReader, s *Service) {
	s.Model = r.required("model")
	s.Version = r.required("version")
	s.Adapters = r.list("adapters")
	s.MaxTokens = r.number("max_tokens", 1, maxResponseTokens, defaultResponseTokens)
	s.Idempotent = r.boolean("idempotent", true)
}

func readCustomer(r *fieldReader) *Customer {
	c := &Customer{
		Name:              r.o.Name,
		KeyHashes:         readKeyHashes(r),
		Services:          r.list("services"),
		Classes:           readClasses(r),
		Weight:            r.number("weight", 1, maxWeight, 1),
		RequestsPerSecond: r.number("requests_per_second", 1, maxRequestsPerSecond, defaultRequestsPerSecond),
		MaxInFlight:       r.number("max_in_flight", 1, maxInFlight, defaultInFlight),
	}
	if len(c.Services) == 0 {
		r.c.addFault(r.o, "services", "services is missing")
	}
	return c
}

func readKeyHashes(r *fieldReader) []string {
	hashes := r.list("key_sha256")
	if len(hashes) == 0 {
		r.c.addFault(r.o, "key_sha256", "key_sha256 is missing")
	}
	for i, h := range hashes {
		hashes[i] = strings.ToLower(h)
		raw, err := hex.DecodeString(h)
		if err != nil || len(raw) != sha256Bytes {
			r.c.addFault(r.o, "key_sha256", "key_sha256 is not a SHA-256 hash in hex")
		}
	}
	return hashes
}

func readClasses(r *fieldReader) []Class {
	names := r.list("classes")
	if len(names) == 0 {
		return []Class{ClassOnline, ClassBatch}
	}
	classes := make([]Class, 0, len(names))
	for _, n := range names {
		switch c := Class(n); c {
		case ClassUrgent, ClassOnline, ClassBatch:
			classes = append(classes, c)
		default:
			r.c.addFault(r.o, "classes", "unknown class "+n)
		}
	}
	return classes
}
