package route

// Finding is what a check says about an entry of a configuration. It never holds a key.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place is the entry, as Place returns it.
	Place string `json:"place"`
	// Field is the field of the entry in the project's terms, "" if the finding is about all of it.
	Field string `json:"field,omitempty"`
	Text  string `json:"text"`
	// Refused means that hosts refuse the whole configuration because of this entry.
	Refused bool `json:"refused,omitempty"`
}
