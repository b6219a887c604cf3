package route

// Workspace is a customer whose requests are identified by keys.
type Workspace struct {
	Name string
	// Priority replaces the priority of the route for the workspace's requests; nil keeps it.
	Priority *int
	// RequestsPerSecond and Burst limit the workspace's requests on all hosts together. A
	// rate of 0 means no limit.
	RequestsPerSecond float64
	Burst             float64
	// Keys are the hashes of the workspace's keys.
	Keys []KeyHash
}

// Limited reports whether the workspace has a rate limit.
func (w *Workspace) Limited() bool {
	return w != nil && w.RequestsPerSecond > 0
}

// HasWorkspaces reports whether requests need a key, except those of public routes. A
// configuration may list no workspace at all; then no key is valid.
func (c *Configuration) HasWorkspaces() bool {
	return c.Workspaces != nil
}

// WorkspaceByKey returns the workspace that holds the key with a hash, or nil.
func (c *Configuration) WorkspaceByKey(h KeyHash) *Workspace {
	return c.byKey[h]
}
