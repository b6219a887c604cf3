package standin

// Issued is a certificate with its key, in PEM.
type Issued struct {
	Certificate []byte
	Key         []byte
}
