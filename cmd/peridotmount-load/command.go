package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/load"
)

const (
	folderMode = 0o755
	fileMode   = 0o644
)

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "peridotmount-load",
		Short:         "Measure a fleet from the outside",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newMeasure(), newCompare(), newCost())
	return root
}

func newMeasure() *cobra.Command {
	o := &load.Options{}
	var fleetFile, out string
	cmd := &cobra.Command{
		Use:     "measure",
		Short:   "Take the four measures of a fleet and write them as JSON",
		Example: "  peridotmount-load measure --fleet .fleet/fleet.json --label product --out report/product.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fleet, err := load.ReadFleet(fleetFile)
			if err != nil {
				return err
			}
			o.Client = load.NewClient()
			report, err := load.Measure(cmd.Context(), fleet, o, func(phase string) {
				_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%s %s: %s\n", time.Now().Format(time.TimeOnly), o.Label, phase)
			})
			if err != nil {
				return err
			}
			if err := writeReport(out, report); err != nil {
				return err
			}
			return load.WriteTable(cmd.OutOrStdout(), []*load.Report{report})
		},
	}
	addOnlineFlags(cmd, &fleetFile, o)
	cmd.Flags().StringVar(&out, "out", "report/measures.json", "file for the report")
	cmd.Flags().StringVar(&o.Label, "label", "product", "name of the fleet in the report")
	cmd.Flags().DurationVar(&o.Phase, "phase", 20*time.Second, "length of each phase")
	cmd.Flags().StringVar(&o.BatchKey, "batch-key", "wholesale-key", "key of the customer of batch jobs")
	cmd.Flags().Float64Var(&o.Rate, "rate", 100, "online requests a second")
	cmd.Flags().Float64Var(&o.LongRate, "long-rate", 5, "long requests a second")
	cmd.Flags().IntVar(&o.Jobs, "jobs", 16, "batch jobs in the fleet")
	cmd.Flags().IntVar(&o.Items, "items", 2000, "items of each batch job")
	cmd.Flags().IntVar(&o.SlowEndpoints, "slow-endpoints", 2, "endpoints slowed in the last measure")
	cmd.Flags().Float64Var(&o.Slowdown, "slowdown", 10, "factor by which they are slowed")
	return cmd
}

func newCompare() *cobra.Command {
	var plots string
	cmd := &cobra.Command{
		Use:     "compare REPORT...",
		Short:   "Write the measures of several reports side by side, and plots of them",
		Example: "  peridotmount-load compare report/baseline.json report/product.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var reports []*load.Report
			for _, file := range args {
				r, err := readReport(file)
				if err != nil {
					return err
				}
				reports = append(reports, r)
			}
			if err := load.WriteTable(cmd.OutOrStdout(), reports); err != nil {
				return err
			}
			if plots == "" {
				return nil
			}
			return load.WritePlots(plots, reports)
		},
	}
	cmd.Flags().StringVar(&plots, "plots", "", "folder for the plots")
	return cmd
}

func writeReport(file string, r *load.Report) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	if err := os.MkdirAll(filepath.Dir(file), folderMode); err != nil {
		return errors.Wrap(err, "make folder of report")
	}
	return errors.Wrap(os.WriteFile(file, append(data, '\n'), fileMode), "write report")
}

func readReport(file string) (*load.Report, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	r := &load.Report{}
	return r, errors.Wrap(json.Unmarshal(data, r), "decode report")
}
