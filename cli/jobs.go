package cli

import (
	"net/url"
	"sort"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/node"
)

const jobsPath = "/operator/jobs"

func newJobs(c *connection) *cobra.Command {
	var customer string
	cmd := &cobra.Command{
		Use:   "jobs",
		Short: "List the batch jobs of all customers, newest first",
		Long: `List the batch jobs of all customers, newest first.

Each host answers for the partitions that it leads; a partition between two
leaders is missing until the next has taken over.`,
		Example: `  peridotmount jobs --hosts http://10.0.0.5:7002
  peridotmount jobs --customer wholesale --output json`,
		Args: usage(cobra.NoArgs),
	}
	cmd.Flags().StringVar(&customer, "customer", "", "list the jobs of one customer only")
	output := outputFlag(cmd.Flags(), outputTable, outputJSON)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		query := url.Values{"customer": {customer}}
		answers, err := askAll[node.Jobs](cmd.Context(), c, jobsPath+"?"+query.Encode())
		if err != nil {
			return err
		}
		lists, lacking := values(answers)
		noteTruncated(cmd, lists)
		if err := writeJobs(cmd, output.value, mergeJobs(lists)); err != nil {
			return err
		}
		return lacking
	}
	return cmd
}

func noteTruncated(cmd *cobra.Command, lists []node.Jobs) {
	for i := range lists {
		if lists[i].Truncated {
			cmd.PrintErrln("older jobs are not listed")
			return
		}
	}
}

// mergeJobs joins the hosts' lists. While a partition changes hands two hosts
// may list the same job; the one that is further on is kept.
func mergeJobs(lists []node.Jobs) []node.JobStatus {
	byID := make(map[string]node.JobStatus)
	for i := range lists {
		for _, j := range lists[i].Jobs {
			old, found := byID[j.ID]
			if !found || j.Completed+j.Failed > old.Completed+old.Failed {
				byID[j.ID] = j
			}
		}
	}
	out := make([]node.JobStatus, 0, len(byID))
	for _, j := range byID {
		out = append(out, j)
	}
	sort.Slice(out, func(i, j int) bool {
		if !out[i].Created.Equal(out[j].Created) {
			return out[i].Created.After(out[j].Created)
		}
		return out[i].ID < out[j].ID
	})
	return out
}

func writeJobs(cmd *cobra.Command, form string, jobs []node.JobStatus) error {
	t := &table{headings: []string{"JOB", "CUSTOMER", "NAME", "STATUS", "ITEMS", "COMPLETED", "FAILED", "CREATED", "DUE"}}
	for i := range jobs {
		j := &jobs[i]
		t.add(j.ID, j.Customer, j.Name, string(j.Status), strconv.Itoa(j.Items), strconv.Itoa(j.Completed),
			strconv.Itoa(j.Failed), j.Created.Format(time.RFC3339), j.Due.Format(time.RFC3339))
	}
	return write(cmd.OutOrStdout(), form, t, jobs)
}
