package cli

import (
	"runtime"

	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/node"
)

// buildVersion is the JSON output of the version command.
type buildVersion struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func newVersion() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "version",
		Short:   "Show the version of this command",
		Example: "  peridotmount version --output json",
		Args:    usage(cobra.NoArgs),
	}
	output := outputFlag(cmd.Flags(), outputTable, outputJSON)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		v := buildVersion{Version: node.Version, Go: runtime.Version()}
		t := &table{headings: []string{"VERSION", "GO"}}
		t.add(v.Version, v.Go)
		return write(cmd.OutOrStdout(), output.value, t, v)
	}
	return cmd
}
