package cli

import "github.com/spf13/cobra"

// newRoutesGroup returns the commands for hosts that serve an operator's routes. They
// read the platform's store alone, and so answer while hosts don't.
func newRoutesGroup(c *connection) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "routes",
		Short: "Look at hosts that serve an operator's routes",
		Example: `  peridotmount routes check configuration.json
  peridotmount routes configuration next.json --in-force configuration.json
  peridotmount routes status --store 10.0.0.5:7001`,
		Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return cmd.Help()
		},
	}
	cmd.AddCommand(newRoutesCheck(), newRoutesConfiguration(c), newRoutesStatus(c), newRoutesJobs(c), newRoutesAccount())
	return cmd
}
