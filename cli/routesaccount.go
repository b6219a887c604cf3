package cli

import (
	"bufio"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/account"
)

// logLineBytes bounds a line of a host's log; one that lists hundreds of hosts has some
// twenty KiB.
const logLineBytes = 1 << 20

func newRoutesAccount() *cobra.Command {
	var window time.Duration
	cmd := &cobra.Command{
		Use:   "account [FILE...]",
		Short: "Tell from hosts' logs what was not served in time, and why",
		Long: `Tell from the logs of hosts, in files or on standard input, how many requests and
batch items were served in time, and why the others were not. The more hosts' logs are
there, the more is known: an item may run at any host. Requests are attempts of callers.`,
		Example: "  peridotmount routes account host-*.log --window 2s",
	}
	cmd.Flags().DurationVar(&window, "window", 0, "split by the time at which requests and jobs came, in windows of this width")
	output := outputFlag(cmd.Flags(), outputTable, outputJSON)
	cmd.RunE = func(cmd *cobra.Command, files []string) error {
		a := account.New(window)
		if len(files) == 0 {
			if err := readLog(a, cmd.InOrStdin()); err != nil {
				return errors.Wrap(err, "standard input")
			}
		}
		for _, name := range files {
			if err := readLogFile(a, name); err != nil {
				return errors.Wrap(err, name)
			}
		}
		rows := a.Rows()
		t := &table{headings: []string{"WINDOW", "KIND", "COUNT", "REASON"}}
		for _, r := range rows {
			reason := r.Reason
			if reason == "" {
				reason = "in time"
			}
			t.add((time.Duration(r.WindowMS) * time.Millisecond).String(), r.Kind, strconv.Itoa(r.Count), reason)
		}
		return write(cmd.OutOrStdout(), output.value, t, rows)
	}
	return cmd
}

func readLogFile(a *account.Account, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return readLog(a, f)
}

// readLog adds the lines of a log; those that are no events are passed over.
func readLog(a *account.Account, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, logLineBytes)
	for lines.Scan() {
		if l, ok := account.Parse(lines.Text()); ok {
			a.Add(&l)
		}
	}
	return lines.Err()
}
