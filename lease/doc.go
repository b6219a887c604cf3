// Package lease implements the rules by which hosts claim, renew, release and
// lose the lease on a log stream. The fencing number of a lease, its epoch, is
// the offset of the claim that created it.
package lease
