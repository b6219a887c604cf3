package demo

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/standin"
)

// plain calls the plain service and checks its answer.
func (r *Runner) plain(ctx context.Context) error {
	const path, body = "/line/4", "how is the press?"
	resp, err := r.send(ctx, &call{
		method: http.MethodPost,
		url:    r.hosts[1].CallersAddress + "/svc/" + r.work.plainService + path,
		key:    r.work.onlineKey,
		kind:   "text/plain",
		body:   []byte(body),
	})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer standin.PlainAnswer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	if answer.Echo != body || answer.Path != path {
		return errors.Wrapf(ErrWrong, "answer %+v", answer)
	}
	r.say("      answered by %s, run state %s", answer.Endpoint, resp.Header.Get("Peridotmount-Run-State"))
	return nil
}
