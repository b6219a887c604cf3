package entry

import (
	"context"
	"net/http"

	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/keeper"
)

// getRequest gives the kept answer of a keyed request again.
func (e *Entry) getRequest(w http.ResponseWriter, r *http.Request, c *caller) error {
	id := r.PathValue("id")
	end, err := e.keptAnswer(r.Context(), c.customer.Name, id)
	if err != nil {
		return err
	}
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderRunState, string(dispatch.Completed))
	switch {
	case end.Failure != nil:
		end.Failure.certain = true
		return end.Failure
	case end.Plain != nil:
		end.Plain.write(w)
	default:
		httpjson.WriteJSON(w, http.StatusOK, end.Completion.whole(id))
	}
	return nil
}

// keptAnswer returns the recorded answer of the last attempt at a request.
func (e *Entry) keptAnswer(ctx context.Context, customer, id string) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	s, err := e.requests.Request(ctx, customer, id)
	if err != nil {
		return nil, err
	}
	key := s.Request.Key
	var last *answer
	for attempt := 1; ; attempt++ {
		end, err := kept(s)
		if err != nil {
			return nil, err
		}
		if end == nil && !s.Interrupted {
			return nil, inProgress()
		}
		if end == nil {
			return nil, unknownOutcome()
		}
		last = end
		if !end.notRun() || attempt == maxAttempts {
			return last, nil
		}
		next := keeper.RequestID(customer, attemptKey(key, attempt), e.opts.Partitions)
		s, err = e.requests.Request(ctx, customer, next)
		if isNotFound(err) {
			return last, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
