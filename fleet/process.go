package fleet

import "github.com/peridotmount/peridotmount/platform"

// Role tells what a process plays in a fleet.
type Role string

// Roles of processes. Those of hosts and endpoints equal platform.HostRole.
const (
	RoleStore  = Role("store")
	RoleSystem = Role(platform.RoleSystem)
	RoleEngine = Role(platform.RoleEngine)
	RolePlain  = Role(platform.RolePlain)
)

// Process is one process of a fleet.
type Process struct {
	Name   string `json:"name"`
	Role   Role   `json:"role"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Address is the listener that other processes send requests to.
	Address string `json:"address"`
	// OperatorAddress and CallersAddress are set on system hosts only.
	OperatorAddress string `json:"operator_address"`
	CallersAddress  string `json:"callers_address"`
	// Service names the service of a plain endpoint.
	Service string `json:"service"`
	// Slots is the number of requests that an endpoint runs at once.
	Slots       int   `json:"slots"`
	Incarnation int64 `json:"incarnation"`
	PID         int   `json:"pid"`
}

// IsEndpoint reports whether the process has an endpoint's record in the store.
func (p *Process) IsEndpoint() bool {
	return p.Role == RoleEngine || p.Role == RolePlain
}

// Host returns the process as a live entry of the host list.
func (p *Process) Host() platform.Host {
	return platform.Host{
		Name:            p.Name,
		Role:            platform.HostRole(p.Role),
		State:           platform.HostLive,
		Zone:            p.Zone,
		Region:          p.Region,
		Address:         p.Address,
		OperatorAddress: p.OperatorAddress,
		Service:         p.Service,
		Incarnation:     p.Incarnation,
		Slots:           p.Slots,
	}
}
