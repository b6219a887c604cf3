// Package limit limits each customer's request rate and requests in progress over
// all hosts together, without a coordinator. Each host enforces a share of each
// limit, computed from the demand that the hosts gossip. State decides, without
// input or output or a clock of its own; Limiter makes it safe for concurrent use
// and exchanges the demand.
package limit
