package completion

// Kind tells the two completion calls apart.
type Kind string

// Kinds of completion, named by their paths.
const (
	Chat Kind = "/v1/chat/completions"
	Text Kind = "/v1/completions"
)
