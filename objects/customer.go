package objects

// Customer is one who calls the system.
type Customer struct {
	Name string
	// KeyHashes are SHA-256 hashes of the customer's keys, in hex.
	KeyHashes []string
	// Services and Classes are those the customer may use.
	Services []string
	Classes  []Class
	// Weight is the customer's share among others of its class.
	Weight int
	// RequestsPerSecond bounds the customer's rate over all hosts.
	RequestsPerSecond int
	// MaxInFlight bounds the customer's requests in progress over all hosts.
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

// MayAsk reports whether the customer may ask for a class.
func (c *Customer) MayAsk(class Class) bool {
	for _, k := range c.Classes {
		if k == class {
			return true
		}
	}
	return false
}
