package fleet

// Customer is a customer of the example objects.
type Customer struct {
	Name string `json:"name"`
	// Key is the bearer key, of which the objects hold only the hash.
	Key string `json:"key"`
}
