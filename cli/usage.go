package cli

import (
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// usage turns the fault that check finds in the arguments into ErrUsage.
func usage(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return errors.Wrap(ErrUsage, err.Error())
		}
		return nil
	}
}

// usageFault turns a fault of the flags into ErrUsage.
func usageFault(_ *cobra.Command, err error) error {
	return errors.Wrap(ErrUsage, err.Error())
}
