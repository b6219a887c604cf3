package entry

import (
	"net/http"
	"strconv"
)

// Bounds of one page of a list.
const (
	defaultPageItems = 20
	maxPageItems     = 100
)

// page is the part of a list that is asked for.
type page struct {
	// after is the id of the last item of the page before, or "".
	after string
	limit int
}

func readPage(r *http.Request) (page, error) {
	query := r.URL.Query()
	p := page{after: query.Get("after"), limit: defaultPageItems}
	text := query.Get("limit")
	if text == "" {
		return p, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxPageItems {
		return p, invalid("limit", "the limit is not a whole number from 1 to "+strconv.Itoa(maxPageItems))
	}
	p.limit = n
	return p, nil
}

// cut returns the bounds of the page in a list of n items, whose ids are given
// by id, and whether more follow it.
func (p page) cut(n int, id func(int) string) (from, to int, more bool, err error) {
	if p.after != "" {
		from = -1
		for i := range n {
			if id(i) == p.after {
				from = i + 1
			}
		}
		if from < 0 {
			return 0, 0, false, invalid("after", "no item "+p.after+" in the list")
		}
	}
	to = min(from+p.limit, n)
	return from, to, to < n, nil
}
