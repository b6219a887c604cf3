package cli

import (
	"context"
	"os"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/gateway"
	"github.com/peridotmount/peridotmount/settings"
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
			data, err := os.ReadFile(file)
			if err != nil {
				return errors.Wrap(err, "read settings")
			}
			s, err := settings.LoadGateway(&settings.Source{File: file, Data: data, Flags: set})
			if err != nil {
				return err
			}
			if checkOnly {
				cmd.Println("settings are valid")
				return nil
			}
			return runRoutes(cmd.Context(), s)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "routes.ini", "the settings file")
	cmd.Flags().StringArrayVar(&set, "set", nil, "override a setting: section.key=value (repeatable)")
	cmd.Flags().BoolVar(&checkOnly, "check-settings", false, "check the settings and exit")
	return cmd
}

func runRoutes(ctx context.Context, s *settings.Gateway) error {
	logger := level.NewFilter(newLogger(os.Stdout), level.Allow(level.ParseDefault(s.LogLevel, level.InfoValue())))
	g, err := gateway.New(s, logger)
	if err != nil {
		return err
	}
	return g.Run(ctx)
}
