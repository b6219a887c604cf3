package demo

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/timeline"
)

// timeline writes what all hosts did for the request, and checks that its
// steps are there in their order.
func (r *Runner) timeline(ctx context.Context, request string) error {
	filter := timeline.Filter{Request: request}
	var pages []timeline.Page
	for i := range r.hosts {
		var page timeline.Page
		host := httpjson.NewClient(r.hosts[i].OperatorAddress, r.http).WithSecret(r.fleet.Secret)
		if err := host.Do(ctx, http.MethodGet, "/operator/timeline?"+filter.Values().Encode(), nil, &page); err != nil {
			return errors.Wrapf(err, "ask %s", r.hosts[i].Name)
		}
		pages = append(pages, page)
	}
	events := timeline.Merge(pages)
	if err := timeline.WriteText(r.out, events); err != nil {
		return err
	}
	return checkOrder(events)
}

// checkOrder looks for the steps that every answered request takes.
func checkOrder(events []timeline.Event) error {
	next := 0
	steps := []timeline.Kind{timeline.KindAccepted, timeline.KindSent, timeline.KindAnswered, timeline.KindCompleted}
	for i := range events {
		if next < len(steps) && events[i].Kind == steps[next] {
			next++
		}
	}
	if next < len(steps) {
		return errors.Wrapf(ErrWrong, "the time line lacks %q in its place", steps[next])
	}
	return nil
}
