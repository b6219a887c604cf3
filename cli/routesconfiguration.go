package cli

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/configcheck"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
)

// standardInput is the path that stands for standard input.
const standardInput = "-"

type routesConfigurationOptions struct {
	connection *connection
	inForce    string
	published  bool
	strict     bool
	output     *choice
}

func newRoutesConfiguration(c *connection) *cobra.Command {
	o := routesConfigurationOptions{connection: c}
	cmd := &cobra.Command{
		Use:   "configuration FILE",
		Short: "Check a configuration before it is published, and show what it would change",
		Long: `Check a configuration before it is published: entries that hosts refuse, that can
never match or that contradict each other. FILE holds the record's value; - reads
standard input. With --in-force or --published, show what differs from the version in
force, and whether hosts would adopt the new one.

Keys are never shown: they are named by their index in the list of their workspace.
Entries without a name are named by their index. Indexes count from 0.

Exit codes: 0 if there are neither errors nor, with --strict, warnings; 1 if there are
warnings and --strict is given; 2 if there are errors; 6 if an input can't be read.`,
		Example: `  peridotmount routes configuration next.json --in-force current.json
  peridotmount routes configuration next.json --published --store 10.0.0.5:7001 --strict`,
		Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.run(cmd, args[0])
		},
	}
	cmd.Flags().StringVar(&o.inForce, "in-force", "", "file with the configuration in force; - reads standard input")
	cmd.Flags().BoolVar(&o.published, "published", false, "compare with the configuration in the store (--store)")
	cmd.Flags().BoolVar(&o.strict, "strict", false, "fail on warnings")
	o.output = outputFlag(cmd.Flags(), outputText, outputJSON)
	return cmd
}

func (o *routesConfigurationOptions) run(cmd *cobra.Command, file string) error {
	if o.published && o.inForce != "" {
		return errors.Wrap(ErrUsage, "--in-force and --published exclude each other")
	}
	if file == standardInput && o.inForce == standardInput {
		return errors.Wrap(ErrUsage, "only one of the two configurations can be read from standard input")
	}
	value, err := readFileOr(file, cmd.InOrStdin())
	if err != nil {
		return errors.Wrap(ErrUnreadable, err.Error())
	}
	current, err := o.readInForce(cmd.Context(), cmd.InOrStdin())
	if err != nil {
		return err
	}
	report := newConfigurationReport(value, current)
	if err := report.write(cmd.OutOrStdout(), o.output.value); err != nil {
		return err
	}
	return report.verdict(o.strict)
}

// readInForce returns the configuration to compare with, or nil if none is asked for.
func (o *routesConfigurationOptions) readInForce(ctx context.Context, in io.Reader) (*route.Configuration, error) {
	var value []byte
	var err error
	switch {
	case o.published:
		value, err = o.readPublished(ctx)
	case o.inForce != "":
		value, err = readFileOr(o.inForce, in)
	default:
		return nil, nil
	}
	if errors.Is(err, ErrUsage) {
		return nil, err
	}
	if err != nil {
		return nil, errors.Wrapf(ErrUnreadable, "configuration in force: %v", err)
	}
	current, err := platform.DecodeConfiguration(value)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreadable, "configuration in force: %v", err)
	}
	return current, nil
}

// readPublished returns the configuration in the store.
func (o *routesConfigurationOptions) readPublished(ctx context.Context) ([]byte, error) {
	records, err := o.connection.list(ctx, platform.TopicOperator)
	if err != nil {
		return nil, err
	}
	for i := range records {
		if records[i].Key == platform.KeyConfiguration {
			return records[i].Value, nil
		}
	}
	return nil, errors.New("the store has none")
}

// newConfigurationReport checks a configuration and compares it with current, unless that is nil.
func newConfigurationReport(value []byte, current *route.Configuration) *configurationReport {
	report := &configurationReport{Findings: []route.Finding{}}
	if current != nil {
		report.InForce = current.Version
		report.Changes = []configcheck.Change{}
	}
	next, decoded, err := platform.InspectConfiguration(value)
	if err != nil {
		report.Findings = append(report.Findings, route.Finding{
			Severity: route.Error, Place: route.PlaceConfiguration, Text: err.Error(), Refused: true,
		})
		return report
	}
	report.Version = next.Version
	report.Findings = append(report.Findings, configcheck.Check(next, decoded)...)
	if current != nil {
		changes, findings := configcheck.Compare(current, next)
		report.Changes = append(report.Changes, changes...)
		report.Findings = append(report.Findings, findings...)
		configcheck.Sort(report.Findings)
	}
	return report
}
