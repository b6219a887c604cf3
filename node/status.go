package node

import (
	"net/http"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/platform"
)

// Status is what a host tells operators of itself.
type Status struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Revision int64  `json:"revision"`
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason,omitempty"`
	// Stranded is set while the host reaches no endpoint, and others make its calls.
	Stranded bool `json:"stranded,omitempty"`
	// Leads lists the partitions that the host leads.
	Leads []int `json:"leads"`
	// Endpoints are those that the host knows of, if asked for.
	Endpoints []EndpointStatus `json:"endpoints,omitempty"`
}

// EndpointStatus is what a host knows of an endpoint.
type EndpointStatus struct {
	Name    string             `json:"name"`
	Role    platform.HostRole  `json:"role"`
	Service string             `json:"service,omitempty"`
	Zone    string             `json:"zone"`
	State   platform.HostState `json:"state"`
	// Home is the host that admits work to the endpoint.
	Home string `json:"home"`
}

// parameterEndpoints asks a host's status for the endpoints as well.
const parameterEndpoints = "endpoints"

func (n *Node) status(w http.ResponseWriter, r *http.Request) {
	reason := n.unready()
	status := Status{
		Host:     n.settings.Host.Name,
		Zone:     n.settings.Host.Zone,
		Version:  Version,
		Revision: n.follower.Current().Number,
		Ready:    reason == "",
		Reason:   reason,
		Stranded: !n.links.sender.Links().Connected(),
		Leads:    n.keeper.LedPartitions(),
	}
	if r.URL.Query().Has(parameterEndpoints) {
		status.Endpoints = endpointsOf(n.watcher.View())
	}
	httpjson.WriteJSON(w, http.StatusOK, status)
}

func endpointsOf(view *membership.View) []EndpointStatus {
	var out []EndpointStatus
	for _, h := range view.Hosts {
		if h.Role == platform.RoleSystem {
			continue
		}
		home, _ := view.Home(h)
		out = append(out, EndpointStatus{
			Name: h.Name, Role: h.Role, Service: h.Service, Zone: h.Zone, State: h.State, Home: home.Name,
		})
	}
	return out
}
