package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/slots"
)

// routesStatus is the JSON output of the routes status command.
type routesStatus struct {
	// Version is that of the configuration, 0 if there is none.
	Version   int64               `json:"version"`
	Hosts     []routesHost        `json:"hosts"`
	Endpoints []endpoint.Endpoint `json:"endpoints"`
	// Unreadable are the keys of records that say nothing.
	Unreadable []string `json:"unreadable,omitempty"`
	// Quotas are those that scheduling hosts among --operators believe, Schedulers which hosts
	// schedule for the others.
	Quotas     []slots.QuotaStatus `json:"quotas,omitempty"`
	Schedulers []string            `json:"schedulers,omitempty"`
}

// routesHost is a host as its record says; its token is nobody's business.
type routesHost struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	// Stranded hosts reach no endpoint; others make their calls. Helps is how many calls a host
	// made for others when its record was written.
	Stranded bool `json:"stranded"`
	Helps    int  `json:"helps"`
}

func newRoutesStatus(c *connection) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the configuration's version, the hosts and the endpoints in the store",
		Long: `Show the configuration's version, the hosts and the endpoints in the store. Hosts
stand in the order in which they schedule. A host that was killed keeps its record
until it starts again; the log of the scheduling host says who takes part. A stranded
host reaches no endpoint: others, which help it, make its calls.

With --operators, hosts are asked for the use of the workspaces' quotas. The scheduling
host knows it; others name that host.`,
		Example: `  peridotmount routes status --store 10.0.0.5:7001
  peridotmount routes status --store 10.0.0.5:7001 --operators http://10.0.1.1:8001`,
		Args: usage(cobra.NoArgs),
	}
	output := outputFlag(cmd.Flags(), outputTable, outputJSON)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s, err := readRoutesStatus(cmd.Context(), c)
		if err != nil {
			return err
		}
		lacking := s.addQuotas(cmd.Context(), c)
		t := &table{headings: []string{"KIND", "NAME", "ZONE", "STATE", "SERVICE", "SLOTS", "ADDRESS"}}
		t.add("configuration", strconv.FormatInt(s.Version, 10), "", "", "", "", "")
		for i := range s.Hosts {
			h := &s.Hosts[i]
			t.add("host", h.Name, h.Zone, h.state(), "", "", h.Address)
		}
		for i := range s.Endpoints {
			e := &s.Endpoints[i]
			t.add("endpoint", e.ID, e.Zone, stateName(e.State == endpoint.Draining), e.Service, strconv.Itoa(e.Slots), e.Address)
		}
		for _, key := range s.Unreadable {
			t.add("unreadable", key, "", "", "", "", "")
		}
		s.addQuotaRows(t)
		if err := write(cmd.OutOrStdout(), output.value, t, s); err != nil {
			return err
		}
		return lacking
	}
	return cmd
}

// state describes a host in the table.
func (h *routesHost) state() string {
	state := stateName(h.Leaving)
	if h.Stranded {
		state += ", stranded"
	}
	if h.Helps > 0 {
		state += fmt.Sprintf(", helps with %d calls", h.Helps)
	}
	return state
}

func stateName(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "ready"
}

func readRoutesStatus(ctx context.Context, c *connection) (*routesStatus, error) {
	records := make(map[platform.Topic][]platform.KeyedRecord)
	for _, topic := range []platform.Topic{platform.TopicOperator, platform.TopicHosts, platform.TopicEndpoints} {
		list, err := c.list(ctx, topic)
		if err != nil {
			return nil, err
		}
		records[topic] = list
	}
	s := &routesStatus{}
	for i := range records[platform.TopicOperator] {
		s.addConfiguration(&records[platform.TopicOperator][i])
	}
	s.addHosts(records[platform.TopicHosts])
	for _, r := range records[platform.TopicEndpoints] {
		e, err := platform.DecodeEndpoint(r)
		if err != nil {
			s.Unreadable = append(s.Unreadable, r.Key)
			continue
		}
		s.Endpoints = append(s.Endpoints, e)
	}
	return s, nil
}

func (s *routesStatus) addConfiguration(r *platform.KeyedRecord) {
	if r.Key != platform.KeyConfiguration {
		return
	}
	config, err := platform.DecodeConfiguration(r.Value)
	if err != nil {
		s.Unreadable = append(s.Unreadable, r.Key)
		return
	}
	s.Version = config.Version
}

func (s *routesStatus) addHosts(records []platform.KeyedRecord) {
	order := peers.NewTable()
	for i := range records {
		h, err := peers.Decode(&records[i])
		if err != nil {
			s.Unreadable = append(s.Unreadable, records[i].Key)
			continue
		}
		order.Put(noTime, records[i].Offset, h)
	}
	for _, h := range order.Hosts() {
		s.Hosts = append(s.Hosts, routesHost{Name: h.Name, Zone: h.Zone, Address: h.Address, Leaving: h.Leaving, Stranded: h.Stranded, Helps: h.Helps})
	}
}

// list reads a topic of the store.
func (c *connection) list(ctx context.Context, topic platform.Topic) ([]platform.KeyedRecord, error) {
	if c.store == "" {
		return nil, errors.Wrap(ErrUsage, "--store is needed")
	}
	records, err := platform.ListAll(ctx, c.platformStore(), topic)
	return records, errors.Wrapf(err, "list %s", topic.Name)
}
