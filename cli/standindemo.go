package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/demo"
	"github.com/peridotmount/peridotmount/fleet"
)

// newStandinDemo returns the command that demonstrates a local fleet.
func newStandinDemo() *cobra.Command {
	return &cobra.Command{
		Use:     "demo FLEET_FILE",
		Short:   "Send one of each kind of work through a local fleet and check the answers",
		Example: "  peridotmount-standin demo .fleet/fleet.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := fleet.Read(args[0])
			if err != nil {
				return err
			}
			runner, err := demo.New(f, cmd.OutOrStdout())
			if err != nil {
				return err
			}
			if err := runner.Run(cmd.Context()); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "every answer was right")
			return err
		},
	}
}
