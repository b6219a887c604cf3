package standin

// Refusal is how a Replica turns requests away.
type Refusal struct {
	// Status is the status; zero means 503.
	Status int
	// Unnamed leaves the request's id out.
	Unnamed bool
	Body    string
}
