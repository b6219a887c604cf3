package cli

import (
	"strconv"

	"github.com/spf13/cobra"
)

// checked is the JSON output of the check command.
type checked struct {
	Objects int `json:"objects"`
}

func newCheck() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check DIR",
		Short: "Check the objects in the INI files of a directory as one set",
		Long: `Check the objects in the INI files of a directory as one set, as publish and
the hosts do. Every fault is named with file, line and object.`,
		Example: "  peridotmount check examples/hronec",
		Args:    usage(cobra.ExactArgs(1)),
	}
	output := outputFlag(cmd.Flags(), outputTable, outputJSON)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		list, err := readCheckedSet(args[0])
		if err != nil {
			return err
		}
		t := &table{headings: []string{"OBJECTS"}}
		t.add(strconv.Itoa(len(list)))
		return write(cmd.OutOrStdout(), output.value, t, checked{Objects: len(list)})
	}
	return cmd
}
