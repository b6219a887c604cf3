package scheduler

// ItemRef identifies an item of a batch job.
type ItemRef struct {
	Job string `json:"job"`
	// Item is the index of the item in its job.
	Item int `json:"item"`
}
