package objects

// Customer is a party that sends requests to the system.
type Customer struct {
	Name string
	// KeyHashes are the SHA-256 hashes of the customer's API keys, in lower-case hex.
	KeyHashes []string
	// Services and Classes list what the customer is allowed to use.
	Services []string
	Classes  []Class
	// Weight is the customer's share relative to other customers in the same class.
	Weight int
	// RequestsPerSecond bounds the customer's request rate, summed over all hosts.
	RequestsPerSecond int
	// MaxInFlight bounds the customer's in-flight requests, summed over all hosts.
	MaxInFlight int
}

// MayUse reports whether the customer may call a service.
func (c *Customer) MayUse(service string) bool {
	for _, s := range c.Services {
		if s == service {
			return true
		}
	}
	return false
}

// MayAsk reports whether the customer may request a class.
func (c *Customer) MayAsk(class Class) bool {
	for _, k := range c.Classes {
		if k == class {
			return true
		}
	}
	return false
}
