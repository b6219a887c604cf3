package scheduler

// Hello is what a host says of itself to a new scheduler.
type Hello struct {
	Host   string `json:"host"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Running are the slots that it uses.
	Running []Running `json:"running"`
	// Kept are the unfinished items that it can go on with.
	Kept []Kept `json:"kept,omitempty"`
	// Offers are the open items of the jobs that it accepted.
	Offers []Offer `json:"offers,omitempty"`
}

// Kept is what a host keeps of an item that it ran.
type Kept struct {
	Item ItemRef `json:"item"`
	// Made is how many tokens the item has made.
	Made int `json:"made"`
}
