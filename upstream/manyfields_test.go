package upstream

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// TestHeadsOfManyFields guards against an endpoint whose heads of short distinct fields take the host's
// memory: 64 KB of them become a megabyte. A large sound head has to pass, and a body of many lines.
func TestHeadsOfManyFields(t *testing.T) {
	body := strings.Repeat("a:\r\n", 4*maxHeadFields)
	for fields, tooLong := range map[int]bool{maxHeadFields - 4: false, maxHeadFields + 1: true} {
		var head strings.Builder
		fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body))
		for n := range fields {
			fmt.Fprintf(&head, "%x:\r\n", n)
		}
		p := newPatientPool()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		resp, err := p.Send(ctx, "e", startEndpoint(t, head.String()+"\r\n"+body, ""), testCall())
		if tooLong != errors.Is(err, ErrNoResponse) || tooLong != (testutil.ToFloat64(p.metrics.tooLong) == 1) {
			t.Errorf("%d fields: %v", fields, err)
		}
		if err == nil {
			if len(resp.Header) != fields+1 {
				t.Errorf("%d of %d fields", len(resp.Header), fields+1)
			}
			_ = resp.Close()
		}
		cancel()
	}
}
