package settings

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/heads"
)

// Gateway are the settings of a host that serves the operator's routes on the
// users' platform.
type Gateway struct {
	// Name is the name of the host.
	Name string
	// Zone is the host's availability zone.
	Zone string
	// Regions maps availability zones to their regions.
	Regions map[string]string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// Callers is the address that callers connect to.
	Callers string
	// Readiness is that of the readiness checks and the metrics.
	Readiness string
	// Peers is that for the other hosts of the system.
	Peers string
	// Control is that at which hosts that start ask for what this one knows, or "".
	Control string
	// Seeds are such addresses of other hosts; they may be out of date.
	Seeds []string
	// HeaderFields bounds the fields in the head of a request.
	HeaderFields int
	// HeaderMemory bounds the memory for the heads of all requests in progress; zero means a
	// part of Memory.
	HeaderMemory Bytes
	// Store is the address of the platform's metadata store.
	Store string
	// Memory is what the process may use.
	Memory Bytes
	// Processor is the processor time that the process may use, in cores.
	Processor float64
	// Descriptors is how many files and sockets the process may have open.
	Descriptors int
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// JobStatus is how long after its submission a batch job can be read.
	JobStatus time.Duration
	// Contracts are the parts of the platform's rules that hold for the deployment.
	Contracts []string
	// Revocation is how long after its removal from the configuration a key may still be
	// accepted, also by hosts that can't reach the store; zero if that is not bounded.
	Revocation time.Duration
	// QuotaWindow, QuotaOverrun and QuotaSlack are the time over which the quotas of
	// workspaces are checked, and by what fraction and by how many requests more they may be
	// exceeded in it.
	QuotaWindow  time.Duration
	QuotaOverrun float64
	QuotaSlack   int
	// EndpointFeedback is whether the scheduler learns from the outcomes of requests which
	// endpoints fail or are slow, WeighWaits whether it chooses endpoints by the time that
	// callers wait: yes, no or auto.
	EndpointFeedback string
	WeighWaits       string
}

// Differs reports whether other settings differ in what needs a new start.
func (s *Gateway) Differs(o *Gateway) bool {
	return s.Name != o.Name || s.Zone != o.Zone || !maps.Equal(s.Regions, o.Regions) || s.Callers != o.Callers ||
		s.Readiness != o.Readiness || s.Control != o.Control || !slices.Equal(s.Seeds, o.Seeds) || s.Peers != o.Peers || s.Store != o.Store || s.Memory != o.Memory || s.Descriptors != o.Descriptors ||
		s.HeaderFields != o.HeaderFields || s.HeaderMemory != o.HeaderMemory ||
		s.Processor != o.Processor || s.Grace != o.Grace ||
		!slices.Equal(s.Contracts, o.Contracts) || s.Revocation != o.Revocation ||
		s.QuotaWindow != o.QuotaWindow || s.QuotaOverrun != o.QuotaOverrun || s.QuotaSlack != o.QuotaSlack ||
		s.EndpointFeedback != o.EndpointFeedback || s.WeighWaits != o.WeighWaits
}

const (
	defaultMemory    = 128 * MiB
	defaultGrace     = 8 * time.Second
	defaultJobStatus = 120 * time.Second
	// defaultQuotaWindow is long compared to the time in which a scheduler is replaced.
	defaultQuotaWindow = 5 * time.Second
	minMemory          = 32 * MiB

	defaultDescriptors = 4096
	minDescriptors     = 256
	maxDescriptors     = 1 << 20
	maxMemory          = 1024 * GiB

	// GatewayHeaderBytes bounds the heads of requests to a host that serves routes.
	GatewayHeaderBytes = 64 << 10

	defaultProcessor = 1.0
	minProcessor     = 0.01
	maxProcessor     = 1024.0
)

// LoadGateway reads the settings of a host that serves routes. The error is
// ErrInvalid.
func LoadGateway(source *Source) (*Gateway, error) {
	r := newReader(source)
	s := r.gateway()
	r.require(s.HeaderMemory == 0 || int64(s.HeaderMemory) >= heads.MemoryFor(GatewayHeaderBytes, s.HeaderFields),
		"listen.header_memory is less than a head of listen.header_fields fields takes")
	if _, found := s.Regions[s.Zone]; !found && len(s.Regions) > 0 {
		r.require(false, "host.regions does not name host.zone "+s.Zone)
	}
	r.refuseUnread()
	if len(r.faults) > 0 {
		return nil, errors.Wrap(ErrInvalid, strings.Join(r.faults, "\n"))
	}
	return s, nil
}

func (r *reader) gateway() *Gateway {
	return &Gateway{
		Name:        r.required("host.name"),
		Zone:        r.required("host.zone"),
		Regions:     r.pairs("host.regions"),
		LogLevel:    r.oneOf("host.log_level", "info", "debug", "info", "warn", "error"),
		Memory:      r.size("host.memory", minMemory, maxMemory, defaultMemory),
		Processor:   r.decimal("host.processor", minProcessor, maxProcessor, defaultProcessor),
		Descriptors: r.number("host.descriptors", minDescriptors, maxDescriptors, defaultDescriptors),
		Grace:       r.duration("host.grace", time.Second, time.Hour, defaultGrace),
		Callers:     r.address("listen.callers"),
		Readiness:   r.address("listen.readiness"),
		Peers:       r.address("listen.peers"),
		Control:     r.optionalAddress("listen.control"),
		Seeds:       r.list("host.seeds"),
		Store:       r.address("store.address"),

		HeaderFields: r.number("listen.header_fields", minHeaderFields, maxHeaderFields, defaultHeaderFields),
		HeaderMemory: r.size("listen.header_memory", 0, maxMemory, 0),

		JobStatus: r.duration("jobs.status_kept", time.Second, 24*time.Hour, defaultJobStatus),
		Contracts: r.list("host.contracts"),

		Revocation:   r.duration("keys.revocation", 0, time.Hour, 0),
		QuotaWindow:  r.duration("quotas.window", time.Second, time.Minute, defaultQuotaWindow),
		QuotaOverrun: r.decimal("quotas.overrun", 0, 1, 0),
		QuotaSlack:   r.number("quotas.slack", 0, 1_000_000, 0),

		EndpointFeedback: r.oneOf("scheduler.endpoint_feedback", "auto", "auto", "yes", "no"),
		WeighWaits:       r.oneOf("scheduler.weigh_waits", "auto", "auto", "yes", "no"),
	}
}

// list reads values that are separated by commas.
func (r *reader) list(name string) []string {
	r.ask(name, "value, ...", "")
	k, _ := r.text(name)
	var out []string
	for _, field := range strings.Split(k.Value, ",") {
		if field = strings.TrimSpace(field); field != "" {
			out = append(out, field)
		}
	}
	return out
}

// pairs reads a list of name=value, separated by commas.
func (r *reader) pairs(name string) map[string]string {
	r.ask(name, "name=value, ...", "")
	k, _ := r.text(name)
	out := make(map[string]string)
	for _, field := range strings.Split(k.Value, ",") {
		if field = strings.TrimSpace(field); field == "" {
			continue
		}
		left, right, found := strings.Cut(field, "=")
		if !found {
			r.fault(k, name+": "+field+" is not name=value")
			continue
		}
		out[strings.TrimSpace(left)] = strings.TrimSpace(right)
	}
	return out
}
