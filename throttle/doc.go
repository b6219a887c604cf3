// Package throttle keeps the requests that all hosts together send to an endpoint within
// the rate limit that the endpoint names in its answers. Table holds the limits that a host
// knows, Pacer spaces the requests of one host or scheduler to one endpoint. Both are
// deterministic state machines without a clock.
package throttle
