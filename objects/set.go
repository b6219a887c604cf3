package objects

// Set is a validated set of objects, indexed by name. It is immutable once Compile
// has returned it and safe for concurrent use.
type Set struct {
	Models    map[string]*Model
	Versions  map[string]*Version
	Adapters  map[string]*Adapter
	Services  map[string]*Service
	Customers map[string]*Customer
	byKeyHash map[string]*Customer
}

func newSet() *Set {
	return &Set{
		Models:    make(map[string]*Model),
		Versions:  make(map[string]*Version),
		Adapters:  make(map[string]*Adapter),
		Services:  make(map[string]*Service),
		Customers: make(map[string]*Customer),
		byKeyHash: make(map[string]*Customer),
	}
}

// CustomerByKeyHash returns the customer whose key has the given SHA-256 hash, in
// lower-case hex, or nil.
func (s *Set) CustomerByKeyHash(hash string) *Customer {
	return s.byKeyHash[hash]
}
