// Package origin tells which software version of a service began a stream. Endpoints of
// several versions may serve side by side, and a stream may go on only at the version that
// began it. Table holds what a host knows of single streams, History which versions serve.
// Both are deterministic state machines without a clock.
package origin
