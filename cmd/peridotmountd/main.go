// Command peridotmountd is the daemon that runs on every host.
package main

import "github.com/peridotmount/peridotmount/cli"

func main() {
	cli.Main(cli.NewDaemon())
}
