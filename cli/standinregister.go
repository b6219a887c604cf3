package cli

import (
	"bytes"
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/fleet"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// newStandinRegister returns the command that writes endpoints' records.
func newStandinRegister() *cobra.Command {
	return &cobra.Command{
		Use:   "register FLEET_FILE",
		Short: "Write the records of a local fleet's endpoints to its store",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := fleet.Read(args[0])
			if err != nil {
				return err
			}
			return register(cmd, f)
		},
	}
}

func register(cmd *cobra.Command, f *fleet.File) error {
	for i := range f.Processes {
		p := &f.Processes[i]
		if !p.IsEndpoint() {
			continue
		}
		record, err := standin.EndpointRecord(p.Host())
		if err != nil {
			return err
		}
		if err := putKey(cmd.Context(), f, http.MethodPut, platform.TopicEndpoints, p.Name, record); err != nil {
			return err
		}
	}
	return nil
}

// putKey writes or deletes a key in the store of a local fleet.
func putKey(ctx context.Context, f *fleet.File, method string, topic platform.Topic, key string, value []byte) error {
	url := f.Address(fleet.RoleStore) + "/standin/keys/" + topic.Name + "/" + key
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(value))
	if err != nil {
		return errors.Wrap(err, "write to the store")
	}
	resp, err := (&http.Client{Timeout: platformTimeout}).Do(req)
	if err != nil {
		return errors.Wrap(err, "write to the store")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("write to the store: status %d", resp.StatusCode)
	}
	return nil
}

// newStandinUnlist returns the command that removes a process's record.
func newStandinUnlist() *cobra.Command {
	return &cobra.Command{
		Use:   "unlist FLEET_FILE NAME",
		Short: "Remove the record of a host or endpoint of a local fleet from its store",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := fleet.Read(args[0])
			if err != nil {
				return err
			}
			for _, topic := range []platform.Topic{platform.TopicHosts, platform.TopicEndpoints} {
				if err := putKey(cmd.Context(), f, http.MethodDelete, topic, args[1], nil); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
