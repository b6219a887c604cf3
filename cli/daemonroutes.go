package cli

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/gateway"
)

// newRoutes returns the command that serves the operator's routes.
func newRoutes() *cobra.Command {
	var file string
	var set []string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:   "routes",
		Short: "Serve the routes that the operator publishes in the platform's store",
		Example: `  peridotmountd routes --settings /etc/peridotmount/routes.ini
  peridotmountd routes --settings routes.ini --check-settings`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			source := gateway.Source{File: file, Flags: set}
			if checkOnly {
				if _, err := source.Load(); err != nil {
					return err
				}
				cmd.Println("settings are valid")
				return nil
			}
			g, err := gateway.New(source, os.Stdout)
			if err != nil {
				return err
			}
			return g.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&file, "settings", "routes.ini", "the settings file")
	cmd.Flags().StringArrayVar(&set, "set", nil, "override a setting: section.key=value (repeatable)")
	cmd.Flags().BoolVar(&checkOnly, "check-settings", false, "check the settings and exit")
	return cmd
}
