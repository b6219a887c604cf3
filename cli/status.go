package cli

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/node"
)

const statusPath = "/operator/status"

// fleetStatus is the JSON output of the status command.
type fleetStatus struct {
	Hosts []hostStatus `json:"hosts"`
	// Endpoints are those that the first host to answer knows of.
	Endpoints []node.EndpointStatus `json:"endpoints"`
}

// hostStatus is what a host said, or why it said nothing.
type hostStatus struct {
	node.Status
	Error string `json:"error,omitempty"`
}

func newStatus(c *connection) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the hosts and endpoints of the fleet",
		Long: `Show the hosts of the fleet with revision, readiness and the partitions that
each leads, and the endpoints with the host that admits work to each.`,
		Example: `  peridotmount status --hosts http://10.0.0.5:7002
  peridotmount status --operators http://10.0.1.1:8001,http://10.0.1.2:8001 -o json`,
		Args: usage(cobra.NoArgs),
	}
	output := outputFlag(cmd.Flags(), outputTable, outputJSON)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		answers, err := askAll[node.Status](cmd.Context(), c, statusPath)
		if err != nil {
			return err
		}
		status := summarize(cmd.Context(), c, answers)
		if err := writeStatus(cmd, output.value, status); err != nil {
			return err
		}
		_, lacking := values(answers)
		return lacking
	}
	return cmd
}

func summarize(ctx context.Context, c *connection, answers []answer[node.Status]) *fleetStatus {
	out := &fleetStatus{Hosts: []hostStatus{}, Endpoints: []node.EndpointStatus{}}
	for i := range answers {
		a := &answers[i]
		if a.err != nil {
			lost := node.Status{Host: a.host.Name, Zone: a.host.Zone, Revision: -1, Leads: []int{}}
			out.Hosts = append(out.Hosts, hostStatus{Status: lost, Error: a.err.Error()})
			continue
		}
		out.Hosts = append(out.Hosts, hostStatus{Status: a.value})
		if len(out.Endpoints) == 0 {
			var full node.Status
			// Without an answer the next host is asked.
			_ = c.operator(&a.host).Do(ctx, http.MethodGet, statusPath+"?endpoints", nil, &full)
			out.Endpoints = append(out.Endpoints, full.Endpoints...)
		}
	}
	return out
}

func writeStatus(cmd *cobra.Command, form string, s *fleetStatus) error {
	hosts := &table{headings: []string{"HOST", "ZONE", "VERSION", "REVISION", "READY", "LEADS", "REASON"}}
	for i := range s.Hosts {
		h := &s.Hosts[i]
		hosts.add(h.Host, h.Zone, h.Version, strconv.FormatInt(h.Revision, 10), yesNo(h.Ready), joinNumbers(h.Leads), h.Reason+h.Error)
	}
	if err := write(cmd.OutOrStdout(), form, hosts, s); err != nil || form == outputJSON {
		return err
	}
	_, _ = fmt.Fprintln(cmd.OutOrStdout())
	endpoints := &table{headings: []string{"ENDPOINT", "ROLE", "SERVICE", "ZONE", "STATE", "HOME"}}
	for _, e := range s.Endpoints {
		endpoints.add(e.Name, string(e.Role), e.Service, e.Zone, string(e.State), e.Home)
	}
	return write(cmd.OutOrStdout(), form, endpoints, s)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func joinNumbers(numbers []int) string {
	text := make([]string, len(numbers))
	for i, n := range numbers {
		text[i] = fmt.Sprint(n)
	}
	return strings.Join(text, ",")
}
