package cli

import (
	"sort"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
)

// noTime stands for the time where a state machine's answer doesn't depend on it.
var noTime time.Time

// routesJob is a batch job in the JSON output of the routes jobs command.
type routesJob struct {
	ID        string    `json:"id"`
	Workspace string    `json:"workspace"`
	Route     string    `json:"route"`
	TakenBy   string    `json:"taken_by"`
	Items     int       `json:"items"`
	Done      int       `json:"done"`
	Dead      int       `json:"dead"`
	Open      int       `json:"open"`
	Cancelled bool      `json:"cancelled"`
	Submitted time.Time `json:"submitted"`
	Due       time.Time `json:"due"`
}

func newRoutesJobs(c *connection) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "jobs",
		Short: "List the batch jobs in the ledger, newest first",
		Long: `List the batch jobs in the ledger, newest first, as the hosts replay it. Times
are those of the clock of the host that took the job.`,
		Example: "  peridotmount routes jobs --store 10.0.0.5:7001 --output json",
		Args:    usage(cobra.NoArgs),
	}
	output := outputFlag(cmd.Flags(), outputTable, outputJSON)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		records, err := c.list(cmd.Context(), platform.TopicJobs)
		if err != nil {
			return err
		}
		list := replayJobs(records, func(key string) { cmd.PrintErrln("not readable:", key) })
		t := &table{headings: []string{"JOB", "WORKSPACE", "ROUTE", "TAKEN BY", "ITEMS", "DONE", "DEAD", "OPEN", "CANCELLED", "SUBMITTED", "DUE"}}
		for i := range list {
			j := &list[i]
			t.add(j.ID, j.Workspace, j.Route, j.TakenBy, strconv.Itoa(j.Items), strconv.Itoa(j.Done), strconv.Itoa(j.Dead), strconv.Itoa(j.Open),
				strconv.FormatBool(j.Cancelled), j.Submitted.Format(time.RFC3339), j.Due.Format(time.RFC3339))
		}
		return write(cmd.OutOrStdout(), output.value, t, list)
	}
	return cmd
}

// replayJobs returns the jobs of the ledger's records, newest first.
func replayJobs(records []platform.KeyedRecord, unreadable func(key string)) []routesJob {
	sort.Slice(records, func(i, j int) bool { return records[i].Offset < records[j].Offset })
	state := jobs.NewState()
	decoded := make([]*jobs.Record, len(records))
	for i := range records {
		r, err := jobs.DecodeRecord(records[i].Value)
		switch {
		case err != nil:
			unreadable(records[i].Key)
		case r.Rejection != nil:
			state.Reject(records[i].Key, r)
		default:
			decoded[i] = r
		}
	}
	for i, r := range decoded {
		if r != nil {
			state.Apply(records[i].Offset, records[i].Key, r)
		}
	}
	out := make([]routesJob, 0, len(state.Jobs()))
	for _, j := range state.Jobs() {
		out = append(out, statusOfJob(j))
	}
	sort.Slice(out, func(i, j int) bool {
		if !out[i].Submitted.Equal(out[j].Submitted) {
			return out[i].Submitted.After(out[j].Submitted)
		}
		if out[i].ID != out[j].ID {
			return out[i].ID < out[j].ID
		}
		return out[i].Workspace < out[j].Workspace
	})
	return out
}

func statusOfJob(j *jobs.Job) routesJob {
	sub := &j.Submission
	out := routesJob{
		ID: jobs.ChosenID(j.ID), Workspace: sub.Workspace, Route: sub.Route, TakenBy: sub.AcceptedBy, Items: len(j.Items()), Open: j.Open(), Cancelled: j.Cancelled,
		Submitted: time.UnixMilli(sub.SubmittedMillis), Due: time.UnixMilli(sub.SubmittedMillis + sub.WindowMillis),
	}
	for i := range j.Results {
		if j.Results[i].Dead {
			out.Dead++
		} else {
			out.Done++
		}
	}
	return out
}
