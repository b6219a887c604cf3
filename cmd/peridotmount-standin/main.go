// Command peridotmount-standin plays the platform's services and the
// endpoints, for tests and demonstrations.
package main

import "github.com/peridotmount/peridotmount/cli"

func main() {
	cli.Main(cli.NewStandin())
}
