package objects

// Model is a language model.
type Model struct {
	Name string
	// ContextTokens is the maximum size of prompt and output together, in tokens.
	ContextTokens int
}

// Version is one set of weights of a model.
type Version struct {
	Name  string
	Model string
}

// Adapter is a small set of additional weights for one model.
type Adapter struct {
	Name  string
	Model string
}
