// Package peers tells the hosts of the system about one another through the
// platform's store: each keeps a record of its own there.
package peers
