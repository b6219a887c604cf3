package settings

import "time"

// HostSettings are the settings of section [host].
type HostSettings struct {
	// Name is the name of the host.
	Name string
	// Zone is the host's availability zone.
	Zone string
	// Region is the host's region.
	Region string
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// DrainNotice is how long a host that shuts down still takes requests, so
	// that the balancer sees that it is no longer ready.
	DrainNotice time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

func readHost(r *reader) HostSettings {
	return HostSettings{
		Name:         r.required("host.name"),
		Zone:         r.required("host.zone"),
		Region:       r.required("host.region"),
		DrainTimeout: r.duration("host.drain_timeout", time.Second, time.Hour, 30*time.Second),
		DrainNotice:  r.duration("host.drain_notice", 0, time.Hour, 2*time.Second),
		LogLevel:     r.oneOf("host.log_level", "info", "debug", "info", "warn", "error"),
	}
}
