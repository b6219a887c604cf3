package cli

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

// askedAtOnce bounds the hosts that are asked at the same time.
const askedAtOnce = 32

// answer is what one host said.
type answer[T any] struct {
	host  platform.Host
	value T
	err   error
}

// ask sends the same question to hosts, at the same time. The answers are in
// the order of the hosts.
func ask[T any](ctx context.Context, c *connection, hosts []platform.Host, method, path string) []answer[T] {
	out := make([]answer[T], len(hosts))
	slots := make(chan struct{}, askedAtOnce)
	var group sync.WaitGroup
	for i := range hosts {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			out[i].host = hosts[i]
			out[i].err = c.operator(&hosts[i]).Do(ctx, method, path, nil, &out[i].value)
		}()
	}
	group.Wait()
	return out
}

// askAll asks every live host.
func askAll[T any](ctx context.Context, c *connection, path string) ([]answer[T], error) {
	hosts, err := c.hosts(ctx)
	if err != nil {
		return nil, err
	}
	if len(hosts) == 0 {
		return nil, errors.New("the host list names no live host of the system")
	}
	return ask[T](ctx, c, hosts, http.MethodGet, path), nil
}

// values returns the answers, and an error that names the hosts without one.
func values[T any](answers []answer[T]) ([]T, error) {
	var out []T
	var lacking []string
	for i := range answers {
		if answers[i].err != nil {
			lacking = append(lacking, fmt.Sprintf("%s (%v)", answers[i].host.Name, answers[i].err))
			continue
		}
		out = append(out, answers[i].value)
	}
	if len(lacking) > 0 {
		return out, errors.Wrap(ErrPartial, strings.Join(lacking, "; "))
	}
	return out, nil
}
