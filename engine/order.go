package engine

// OrderKind names what an order asks for.
type OrderKind string

// Kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// ArtifactKind names a kind of loadable artifact.
type ArtifactKind string

// Kinds of artifact.
const (
	ArtifactVersion ArtifactKind = "version"
	ArtifactAdapter ArtifactKind = "adapter"
)

// Artifact is a model version or an adapter that an engine can load.
type Artifact struct {
	Kind  ArtifactKind `json:"kind"`
	Model string       `json:"model"`
	Name  string       `json:"name"`
}

// Role tells which phases of inference an engine takes.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Order asks an engine to load or unload an artifact or to change its role.
type Order struct {
	// Fencing is the number of the lease under which the order is given.
	Fencing  int64     `json:"fencing"`
	Kind     OrderKind `json:"kind"`
	Artifact Artifact  `json:"artifact"`
	Role     Role      `json:"role,omitempty"`
}

// State is what an engine has loaded.
type State struct {
	Artifacts []Artifact `json:"artifacts"`
	Role      Role       `json:"role"`
	// Fencing is the highest number the engine has seen.
	Fencing int64 `json:"fencing"`
	// Applied counts the orders that changed the engine's state.
	Applied int64 `json:"applied"`
}

// CacheEvent tells that an engine stored or evicted a prompt prefix.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
}
