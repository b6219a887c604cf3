package cli

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Ports are taken from below the range that systems take the ports of outgoing
// connections from, so that none is taken before its process binds it.
const (
	lowestPort  = 10_000
	highestPort = 32_000
)

// newStandinPorts returns the command that finds free loopback ports.
func newStandinPorts() *cobra.Command {
	return &cobra.Command{
		Use:   "ports COUNT",
		Short: "Print free loopback ports, one a line",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			count, err := strconv.Atoi(args[0])
			if err != nil || count < 1 {
				return errors.Errorf("%q is not a count", args[0])
			}
			ports, err := freePorts(count)
			for _, p := range ports {
				_, _ = fmt.Fprintln(cmd.OutOrStdout(), p)
			}
			return err
		},
	}
}

// freePorts returns count ports of the loopback address that nothing listens
// on. The search starts at a random port, so that fleets started at the same
// time rarely meet.
func freePorts(count int) ([]int, error) {
	const span = highestPort - lowestPort
	start := rand.IntN(span)
	var out []int
	for i := 0; i < span && len(out) < count; i++ {
		port := lowestPort + (start+i)%span
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, port)
	}
	if len(out) < count {
		return nil, errors.Errorf("%d free ports found, %d wanted", len(out), count)
	}
	return out, nil
}
