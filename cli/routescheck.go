package cli

import (
	"io"
	"os"
	"strconv"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
)

func newRoutesCheck() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check an operator's configuration as the hosts do, and list its routes",
		Long: `Check an operator's configuration as the hosts do, and list its routes in the
order in which they match. FILE holds the record's value; - reads standard input.`,
		Example: "  peridotmount routes check configuration.json",
		Args:    usage(cobra.ExactArgs(1)),
	}
	output := outputFlag(cmd.Flags(), outputTable, outputJSON)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		value, err := readFileOr(args[0], cmd.InOrStdin())
		if err != nil {
			return err
		}
		config, err := platform.DecodeConfiguration(value)
		if err != nil {
			return errors.Wrap(ErrInvalid, err.Error())
		}
		t := &table{headings: []string{"HOST", "PREFIX", "ROUTE", "KIND", "SERVICES", "TIMEOUT"}}
		for i := range config.Routes {
			r := &config.Routes[i]
			t.add(r.Host, r.Prefix, r.Name, r.Kind.String(), servicesOf(r), r.Timeout.String())
		}
		return write(cmd.OutOrStdout(), output.value, t, config)
	}
	return cmd
}

// readFileOr reads a file, or in if the path is that of standard input.
func readFileOr(path string, in io.Reader) ([]byte, error) {
	if path == standardInput {
		data, err := io.ReadAll(in)
		return data, errors.Wrap(err, "read standard input")
	}
	data, err := os.ReadFile(path)
	return data, errors.Wrap(err, "read configuration")
}

// servicesOf returns the services of a route with their weights.
func servicesOf(r *route.Route) string {
	out := ""
	for i, b := range r.Backends {
		if i > 0 {
			out += ", "
		}
		out += b.Service
		if len(r.Backends) > 1 {
			out += " " + strconv.Itoa(b.Weight)
		}
	}
	return out
}
