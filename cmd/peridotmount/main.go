// Command peridotmount is the operators' command line.
package main

import "github.com/peridotmount/peridotmount/cli"

func main() {
	cli.Main(cli.NewOperator())
}
