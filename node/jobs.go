package node

import (
	"net/http"
	"sort"
	"time"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/ledger"
)

// maxJobs bounds the jobs of one answer to operators.
const maxJobs = 10_000

// Jobs is a host's answer to operators: the jobs in the partitions it leads,
// newest first.
type Jobs struct {
	Jobs []JobStatus `json:"jobs"`
	// Truncated tells that there are older jobs than those listed.
	Truncated bool `json:"truncated,omitempty"`
}

// JobStatus is the state of a job.
type JobStatus struct {
	ID       string           `json:"id"`
	Customer string           `json:"customer"`
	Name     string           `json:"name"`
	Status   ledger.JobStatus `json:"status"`
	// Items, Completed and Failed count the job's items.
	Items     int       `json:"items"`
	Completed int       `json:"completed"`
	Failed    int       `json:"failed"`
	Created   time.Time `json:"created"`
	Due       time.Time `json:"due"`
}

func (n *Node) jobs(w http.ResponseWriter, r *http.Request) {
	list, err := n.keeper.LedJobs(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	httpjson.WriteJSON(w, http.StatusOK, jobsOf(list, r.URL.Query().Get("customer")))
}

// jobsOf describes the jobs of a customer, or of all if it is "".
func jobsOf(list []ledger.Job, customer string) Jobs {
	sort.Slice(list, func(i, j int) bool {
		if list[i].CreatedUnix != list[j].CreatedUnix {
			return list[i].CreatedUnix > list[j].CreatedUnix
		}
		return list[i].Job < list[j].Job
	})
	out := Jobs{Jobs: []JobStatus{}}
	for i := range list {
		j := &list[i]
		if customer != "" && j.Customer != customer {
			continue
		}
		if len(out.Jobs) == maxJobs {
			out.Truncated = true
			break
		}
		out.Jobs = append(out.Jobs, JobStatus{
			ID: j.Job, Customer: j.Customer, Name: j.Name, Status: j.Status,
			Items: j.Count, Completed: j.Completed, Failed: j.Failed,
			Created: time.Unix(j.CreatedUnix, 0).UTC(), Due: time.Unix(j.DueUnix, 0).UTC(),
		})
	}
	return out
}
