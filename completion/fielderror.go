package completion

// FieldError is a fault in one field of a request.
type FieldError struct {
	Field  string
	Reason string
	// Unsupported tells that the field is known but not served.
	Unsupported bool
}

// Error implements error.
func (e *FieldError) Error() string {
	return e.Field + " " + e.Reason
}
