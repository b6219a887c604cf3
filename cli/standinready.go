package cli

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/fleet"
	"github.com/peridotmount/peridotmount/httpjson"
)

// newStandinReady returns the command that reports whether a local fleet listens.
func newStandinReady() *cobra.Command {
	var serving bool
	cmd := &cobra.Command{
		Use:   "ready FLEET_FILE",
		Short: "Tell whether every process of a local fleet listens",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			f, err := fleet.Read(args[0])
			if err != nil {
				return err
			}
			if serving {
				return ready(f)
			}
			return listening(f)
		},
	}
	cmd.Flags().BoolVar(&serving, "serving", false, "tell whether every host is ready for callers")
	return cmd
}

// ready returns an error that names a host that isn't ready, and why.
func ready(f *fleet.File) error {
	client, err := f.Client(platformTimeout)
	if err != nil {
		return err
	}
	for _, p := range f.Role(fleet.RoleSystem) {
		if err := httpjson.NewClient(p.OperatorAddress, client).Do(context.Background(), http.MethodGet, "/readyz", nil, nil); err != nil {
			return errors.Wrap(err, p.Name)
		}
	}
	return nil
}

// listening returns an error that names a process that doesn't answer HTTP.
func listening(f *fleet.File) error {
	client, err := f.Client(platformTimeout)
	if err != nil {
		return err
	}
	for i := range f.Processes {
		p := &f.Processes[i]
		for _, url := range []string{p.Address, p.OperatorAddress, p.CallersAddress} {
			if url == "" {
				continue
			}
			resp, err := client.Get(url + "/")
			if err != nil {
				return errors.Wrapf(err, "%s does not listen", p.Name)
			}
			_ = resp.Body.Close()
		}
	}
	return nil
}
