package cli

import (
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/pflag"
)

const (
	environmentPrefix = "PERIDOTMOUNT_"
	// environmentNote marks a flag that may be set by the environment.
	environmentNote = "environment"
)

// fromEnvironment lets flags be set by variables, and says so in their usage.
func fromEnvironment(flags *pflag.FlagSet, names ...string) {
	for _, name := range names {
		f := flags.Lookup(name)
		variable := environmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
		f.Usage += " (" + variable + ")"
		// The flag exists, so that the note can't fail.
		_ = flags.SetAnnotation(name, environmentNote, []string{variable})
	}
}

// readEnvironment sets the flags that the command line left alone and the
// environment gives.
func readEnvironment(flags *pflag.FlagSet) error {
	var fault error
	flags.VisitAll(func(f *pflag.Flag) {
		note := f.Annotations[environmentNote]
		if len(note) == 0 || f.Changed || fault != nil {
			return
		}
		value, found := os.LookupEnv(note[0])
		if !found {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			fault = errors.Wrapf(ErrUsage, "%s: %v", note[0], err)
		}
	})
	return fault
}
