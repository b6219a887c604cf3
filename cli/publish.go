package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotmount/peridotmount/node"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/publication"
)

// waitInterval is the time between two looks at what is in force.
const waitInterval = 100 * time.Millisecond

type publishOptions struct {
	connection *connection
	base       int64
	wait       time.Duration
	publisher  string
	output     *choice
}

// published is the JSON output of the publish command.
type published struct {
	Revision int64 `json:"revision"`
	// Changed reports whether there was anything to publish.
	Changed bool `json:"changed"`
	// InForce tells that all live hosts act by the revision.
	InForce bool `json:"in_force"`
}

func newPublish(c *connection) *cobra.Command {
	o := publishOptions{connection: c}
	cmd := &cobra.Command{
		Use:   "publish DIR",
		Short: "Publish the objects in the INI files of a directory as the new set",
		Long: `Publish the objects in the INI files of a directory as the new set.

With --base the set is published only if that revision is in force still. When
another change comes first nothing is published, and the error names the
revision in force and who published it.`,
		Example: `  peridotmount publish examples/hronec --store 10.0.0.5:7001 --wait 10s
  peridotmount publish examples/hronec --base 41`,
		Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.run(cmd, args[0])
		},
	}
	cmd.Flags().Int64Var(&o.base, "base", publication.NoRevision, "revision the set was made from; -1 means the one in force")
	cmd.Flags().DurationVar(&o.wait, "wait", 0, "wait until the set is in force on all live hosts")
	cmd.Flags().StringVar(&o.publisher, "publisher", os.Getenv("USER"), "name that others see as the publisher")
	fromEnvironment(cmd.Flags(), "publisher")
	o.output = outputFlag(cmd.Flags(), outputTable, outputJSON)
	return cmd
}

func (o *publishOptions) run(cmd *cobra.Command, dir string) error {
	list, err := readCheckedSet(dir)
	if err != nil {
		return err
	}
	result, err := o.publish(cmd.Context(), list)
	if err != nil {
		return err
	}
	if o.wait > 0 {
		if err := o.awaitForce(cmd.Context(), result.Revision); err != nil {
			return err
		}
		result.InForce = true
	}
	t := &table{headings: []string{"REVISION", "CHANGED", "IN FORCE"}}
	t.add(strconv.FormatInt(result.Revision, 10), yesNo(result.Changed), yesNo(result.InForce))
	return write(cmd.OutOrStdout(), o.output.value, t, result)
}

// publish makes list the set in force on the log.
func (o *publishOptions) publish(ctx context.Context, list []objects.Object) (*published, error) {
	log, err := o.connection.log()
	if err != nil {
		return nil, err
	}
	publisher := publication.NewPublisher(log)
	replica, _, err := publisher.Load(ctx)
	if err != nil {
		return nil, err
	}
	current := replica.Current()
	if o.base != publication.NoRevision && o.base != current.Number {
		return nil, errors.Wrapf(ErrConflict, "revision %d by %q is in force, not %d", current.Number, current.Publisher, o.base)
	}
	change := publication.Diff(current, list)
	if len(change.Put)+len(change.Delete) == 0 {
		return &published{Revision: current.Number}, nil
	}
	change.ID = rand.Text()
	change.Publisher = o.publisher
	verdict, err := publisher.Publish(ctx, change)
	if err != nil {
		return nil, err
	}
	return outcome(&verdict)
}

func outcome(v *publication.Verdict) (*published, error) {
	switch v.Outcome {
	case publication.Applied:
		return &published{Revision: v.Revision, Changed: true}, nil
	case publication.Conflict:
		return nil, errors.Wrapf(ErrConflict, "revision %d by %q is in force", v.Revision, v.Winner)
	default:
		return nil, errors.Wrap(ErrInvalid, v.Cause.Error())
	}
}

func (o *publishOptions) awaitForce(ctx context.Context, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, o.wait)
	defer cancel()
	last := "the host list was not read"
	for {
		lacking, err := o.hostsLacking(ctx, revision)
		if errors.Is(err, ErrUsage) {
			return err
		}
		if err == nil && len(lacking) == 0 {
			return nil
		}
		// What was seen as the time ran out says less than what was seen before.
		if ctx.Err() == nil {
			last = describeLacking(lacking, err)
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ErrTimeout, last)
		case <-time.After(waitInterval):
		}
	}
}

func describeLacking(lacking []string, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("lacking: %v", lacking)
}

// hostsLacking returns the live hosts of the system that have an older
// revision in force, or do not answer.
func (o *publishOptions) hostsLacking(ctx context.Context, revision int64) ([]string, error) {
	hosts, err := o.connection.hosts(ctx)
	if err != nil {
		return nil, err
	}
	var lacking []string
	for _, a := range ask[node.Status](ctx, o.connection, hosts, http.MethodGet, statusPath) {
		if a.err != nil || a.value.Revision < revision {
			lacking = append(lacking, a.host.Name)
		}
	}
	return lacking, nil
}
