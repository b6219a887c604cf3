package gossip

// Peer is another host of the system.
type Peer struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Address is the base URL of its listener for the system's own processes.
	Address string `json:"-"`
}
