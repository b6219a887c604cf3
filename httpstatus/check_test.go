package httpstatus

import (
	"testing"

	"github.com/pkg/errors"
)

// TestStatusOutsideOfHTTPIsInvalid guards against a status that a server can't write, or that no client knows.
func TestStatusOutsideOfHTTPIsInvalid(t *testing.T) {
	for status, valid := range map[int]bool{-1: false, 0: false, 99: false, 100: true, 200: true, 418: true, 599: true, 600: false, 999: false} {
		if err := Check(status); (err == nil) != valid || err != nil && !errors.Is(err, ErrInvalid) {
			t.Errorf("%d: %v", status, err)
		}
	}
}
