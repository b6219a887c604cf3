package limit

import "sort"

// CustomerDemand is the demand of one customer at one host.
type CustomerDemand struct {
	Customer string `json:"c"`
	// Demand is the sum of the requests received per second and the number of
	// requests in progress.
	Demand float64 `json:"d"`
}

// DemandReport is the demand that one host gossips.
type DemandReport struct {
	Customers []CustomerDemand `json:"customers"`
}

// truncate keeps the n customers with the highest demand, by decreasing demand and
// then by name, so that the order is deterministic.
func (r *DemandReport) truncate(n int) {
	sort.Slice(r.Customers, func(i, j int) bool {
		a, b := &r.Customers[i], &r.Customers[j]
		if a.Demand != b.Demand {
			return a.Demand > b.Demand
		}
		return a.Customer < b.Customer
	})
	if len(r.Customers) > n {
		r.Customers = r.Customers[:n]
	}
}
