package cli

import (
	"io"
	"net/url"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/timeline"
)

const timelinePath = "/operator/timeline"

func newTimeline(c *connection) *cobra.Command {
	var filter timeline.Filter
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show what all hosts did for a request, a job or an endpoint",
		Long: `Show what all hosts did for a request, a job or an endpoint.

The events of all live hosts are merged in causal order. Each host keeps its
newest events only; the hosts that did not answer are named.`,
		Example: `  peridotmount timeline --request 3f2a9c
  peridotmount timeline --job batch_03-9f --output json
  peridotmount timeline --endpoint engine-4 --output chrome > trace.json`,
		Args: usage(cobra.NoArgs),
	}
	cmd.Flags().StringVar(&filter.Request, "request", "", "request id, from the Peridotmount-Request-Id header")
	cmd.Flags().StringVar(&filter.Job, "job", "", "job id")
	cmd.Flags().StringVar(&filter.Endpoint, "endpoint", "", "name of an endpoint")
	output := outputFlag(cmd.Flags(), outputText, outputJSON, outputChrome)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if filter == (timeline.Filter{}) {
			return errors.Wrap(ErrUsage, "one of --request, --job and --endpoint is needed")
		}
		pages, lacking := fetchTimeline(cmd, c, filter)
		if pages == nil {
			return lacking
		}
		noteLosses(cmd, pages)
		if err := writeEvents(cmd.OutOrStdout(), output.value, timeline.Merge(pages)); err != nil {
			return err
		}
		return lacking
	}
	return cmd
}

// fetchTimeline returns the pages of the hosts that answered, and an error
// that names the others.
func fetchTimeline(cmd *cobra.Command, c *connection, f timeline.Filter) ([]timeline.Page, error) {
	path := url.URL{Path: timelinePath, RawQuery: f.Values().Encode()}
	answers, err := askAll[timeline.Page](cmd.Context(), c, path.String())
	if err != nil {
		return nil, err
	}
	return values(answers)
}

// noteLosses says which hosts have more events than they sent, or may have.
func noteLosses(cmd *cobra.Command, pages []timeline.Page) {
	for i := range pages {
		switch {
		case pages[i].Truncated:
			cmd.PrintErrf("%s has older events that match\n", pages[i].Host)
		case pages[i].Overwritten:
			cmd.PrintErrf("%s no longer keeps its oldest events\n", pages[i].Host)
		}
	}
}

func writeEvents(w io.Writer, form string, events []timeline.Event) error {
	switch form {
	case outputJSON:
		return timeline.WriteJSON(w, events)
	case outputChrome:
		return timeline.WriteChrome(w, events)
	default:
		return timeline.WriteText(w, events)
	}
}
