package cli

import (
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/node"
)

// NewOperator returns the operators' command.
func NewOperator() *cobra.Command {
	c := &connection{}
	root := &cobra.Command{
		Use:   "peridotmount",
		Short: "Operate a peridotmount fleet",
		Long:  "Operate a peridotmount fleet.\n\n" + exitHelp,
		Example: `  export PERIDOTMOUNT_STORE=10.0.0.5:7001
  export PERIDOTMOUNT_SECRET_FILE=/etc/peridotmount/secret
  peridotmount publish examples/hronec --wait 10s
  peridotmount status`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       node.Version,
		Args:          usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return cmd.Help()
		},
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			if err := readEnvironment(cmd.Flags()); err != nil {
				return err
			}
			return c.open()
		},
	}
	root.SetFlagErrorFunc(usageFault)
	c.register(root.PersistentFlags())
	root.AddCommand(newCheck(), newPublish(c), newStatus(c), newJobs(c), newTimeline(c), newDrain(c), newRoutesGroup(c), newVersion())
	return root
}
