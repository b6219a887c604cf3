package cli

import (
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/settings"
)

// newReference returns the command that writes the pages of docs/ that are made
// from the code.
func newReference() *cobra.Command {
	return &cobra.Command{
		Use:       "reference settings|metrics",
		Short:     "Write a reference page of the documentation",
		Hidden:    true,
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"settings", "metrics"},
		RunE: func(cmd *cobra.Command, args []string) error {
			if args[0] == "metrics" {
				return writeMetricsReference(cmd.OutOrStdout())
			}
			return settings.WriteReference(cmd.OutOrStdout())
		},
	}
}
