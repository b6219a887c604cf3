package settings

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
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
}

// Differs reports whether other settings differ in what needs a new start.
func (s *Gateway) Differs(o *Gateway) bool {
	return s.Name != o.Name || s.Zone != o.Zone || !maps.Equal(s.Regions, o.Regions) || s.Callers != o.Callers ||
		s.Readiness != o.Readiness || s.Control != o.Control || !slices.Equal(s.Seeds, o.Seeds) || s.Peers != o.Peers || s.Store != o.Store || s.Memory != o.Memory || s.Descriptors != o.Descriptors ||
		s.Processor != o.Processor || s.Grace != o.Grace
}

const (
	defaultMemory    = 128 * MiB
	defaultGrace     = 8 * time.Second
	defaultJobStatus = 120 * time.Second
	minMemory        = 32 * MiB

	defaultDescriptors = 4096
	minDescriptors     = 256
	maxDescriptors     = 1 << 20
	maxMemory          = 1024 * GiB

	defaultProcessor = 1.0
	minProcessor     = 0.01
	maxProcessor     = 1024.0
)

// LoadGateway reads the settings of a host that serves routes. The error is
// ErrInvalid.
func LoadGateway(source *Source) (*Gateway, error) {
	r := newReader(source)
	s := r.gateway()
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
		JobStatus:   r.duration("jobs.status_kept", time.Second, 24*time.Hour, defaultJobStatus),
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
