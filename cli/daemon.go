package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/node"
	"github.com/peridotmount/peridotmount/settings"
)

// NewDaemon returns the command of the daemon.
func NewDaemon() *cobra.Command {
	var file string
	var set []string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:   "peridotmountd",
		Short: "Serve online and batch inference on this host",
		Long: `Serve online and batch inference on this host.

Settings are read from an INI file. The environment overrides the file
(PERIDOTMOUNT_LEDGER_POLL stands for ledger.poll), and --set overrides both.`,
		Example: `  peridotmountd --settings /etc/peridotmount/peridotmountd.ini
  peridotmountd --settings peridotmountd.ini --set host.log_level=debug
  peridotmountd --settings peridotmountd.ini --check-settings`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		// A SIGHUP must not end a daemon, also not one that has nothing to reload, or that
		// does not handle it yet.
		PersistentPreRun: func(*cobra.Command, []string) { signal.Ignore(syscall.SIGHUP) },
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := readSettings(file, set)
			if err != nil {
				return err
			}
			if checkOnly {
				_, err := fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return err
			}
			return runDaemon(cmd.Context(), s)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "peridotmountd.ini", "the settings file")
	cmd.Flags().StringArrayVar(&set, "set", nil, "override a setting: section.key=value (repeatable)")
	cmd.Flags().BoolVar(&checkOnly, "check-settings", false, "check the settings and exit")
	cmd.AddCommand(newReference(), newRoutes())
	return cmd
}

func readSettings(file string, set []string) (*settings.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return settings.Load(&settings.Source{File: file, Data: data, Environment: os.Environ(), Flags: set})
}

func runDaemon(ctx context.Context, s *settings.Settings) error {
	n, err := node.New(s, newLogger(os.Stderr))
	if err != nil {
		return err
	}
	err = n.Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
