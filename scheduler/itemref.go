package scheduler

// ItemRef names an item of a batch job.
type ItemRef struct {
	Job string `json:"job"`
	// Item is the item's number in its job.
	Item int `json:"item"`
}
