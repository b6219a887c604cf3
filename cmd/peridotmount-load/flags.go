package main

import (
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/fleet"
	"github.com/peridotmount/peridotmount/load"
)

// addOnlineFlags adds the flags of every command that sends online requests.
func addOnlineFlags(cmd *cobra.Command, fleetFile *string, o *load.Options) {
	cmd.Flags().StringVar(fleetFile, "fleet", fleet.DefaultPath, "file that tells where the fleet listens")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of arrivals and prompts")
	cmd.Flags().StringVar(&o.Service, "service", "towel-writer", "service that is called")
	cmd.Flags().StringVar(&o.OnlineKey, "online-key", "shop-floor-key", "key of the customer of online requests")
}
