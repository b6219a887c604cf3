package cli

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/platform"
)

const drainPath = "/operator/drain"

func newDrain(c *connection) *cobra.Command {
	return &cobra.Command{
		Use:   "drain HOST",
		Short: "Ask a host to shut down without cutting off requests",
		Long: `Ask a host to shut down without cutting off requests: it stops being ready,
hands its partitions over, finishes the requests in progress, and exits.

The command returns when the host has begun. HOST is its name on the host list,
or, with --operators, one of the URLs given there.`,
		Example: "  peridotmount drain host-3 --hosts http://10.0.0.5:7002",
		Args:    usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			h, err := c.host(cmd, args[0])
			if err != nil {
				return err
			}
			if err := c.operator(h).Do(cmd.Context(), http.MethodPost, drainPath, nil, nil); err != nil {
				return errors.Wrapf(err, "drain %s", args[0])
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s is draining\n", args[0])
			return err
		},
	}
}

// host returns the live host of that name.
func (c *connection) host(cmd *cobra.Command, name string) (*platform.Host, error) {
	hosts, err := c.hosts(cmd.Context())
	if err != nil {
		return nil, err
	}
	for i := range hosts {
		if hosts[i].Name == name {
			return &hosts[i], nil
		}
	}
	return nil, errors.Errorf("no live host %q", name)
}
