package main

import (
	"encoding/json"
	"time"

	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/load"
)

func newCost() *cobra.Command {
	o := &load.Options{}
	var fleetFile string
	var rates []float64
	var tokens []int
	cmd := &cobra.Command{
		Use:     "cost",
		Short:   "Work out what a request and a token cost the daemons, as JSON",
		Example: "  peridotmount-load cost --fleet .fleet/fleet.json --rates 0,50,100 --tokens 4,32",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fleet, err := load.ReadFleet(fleetFile)
			if err != nil {
				return err
			}
			o.Client = load.NewClient()
			cost, err := load.MeasureCost(cmd.Context(), fleet, o, rates, tokens)
			if err != nil {
				return err
			}
			out := json.NewEncoder(cmd.OutOrStdout())
			out.SetIndent("", " ")
			return out.Encode(cost)
		},
	}
	addOnlineFlags(cmd, &fleetFile, o)
	cmd.Flags().DurationVar(&o.Phase, "phase", 10*time.Second, "length of each point")
	cmd.Flags().Float64SliceVar(&rates, "rates", []float64{0, 50, 100, 200}, "requests a second")
	cmd.Flags().IntSliceVar(&tokens, "tokens", []int{4, 32}, "lengths of the answers in tokens")
	return cmd
}
