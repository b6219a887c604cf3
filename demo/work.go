package demo

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/standin"
)

// work names the objects of an example set that the demonstration uses.
type work struct {
	service      string
	model        string
	version      string
	plainService string
	// onlineKey and batchKey are the keys of customers that may send each.
	onlineKey string
	batchKey  string
}

// workFor returns the work for a size of scripts/fleet.
func workFor(size string) (*work, error) {
	switch size {
	case "hronec":
		return &work{
			service: "towel-writer", model: "towel-base", version: "towel-base-3", plainService: "press-status",
			onlineKey: "shop-floor-key", batchKey: "wholesale-key",
		}, nil
	case "ajloun":
		return &work{
			service: "grain-reader", model: "grain-base", version: "grain-base-2", plainService: "order-desk",
			onlineKey: "carver-key", batchKey: "pricing-key",
		}, nil
	default:
		return nil, errors.Errorf("no demonstration for size %q", size)
	}
}

// answer returns what every engine stand-in generates for a chat of one user
// message.
func (w *work) answer(message string, tokens int) string {
	r := &engine.StreamRequest{Model: w.model, Version: w.version, Prompt: "user: " + message + "\n"}
	var b strings.Builder
	for i := range tokens {
		b.WriteString(standin.Token(r, i))
	}
	return b.String()
}
