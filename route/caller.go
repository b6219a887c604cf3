package route

import "context"

// Caller is in whose name a request is served.
type Caller struct {
	// Checked means that the configuration has workspaces. Without them any request is served,
	// in nobody's name.
	Checked bool
	// Workspace is the name of the workspace whose key the request carries. It is "" if the
	// request needs no key.
	Workspace string
}

// callerKey is the key of a Caller in a context.
type callerKey struct{}

// WithCaller returns a context with the caller of a request.
func WithCaller(ctx context.Context, c Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// CallerOf returns the caller of a request; without one in its context that of a
// configuration without workspaces.
func CallerOf(ctx context.Context) Caller {
	c, _ := ctx.Value(callerKey{}).(Caller)
	return c
}
