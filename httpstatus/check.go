package httpstatus

import (
	"net/http"

	"github.com/pkg/errors"
)

// ErrInvalid means that an answer's status is no status code of HTTP, so that it says nothing of the request.
var ErrInvalid = errors.New("status is none of HTTP")

const (
	first = http.StatusContinue
	last  = 599
)

// Check returns ErrInvalid unless a status is from 100 to 599. net/http reads any three characters that its number parser
// takes, such as 000, +20 or 999; a server of net/http panics on those below 100.
func Check(status int) error {
	if status < first || status > last {
		return errors.Wrapf(ErrInvalid, "status %03d", status)
	}
	return nil
}

// CheckResponse is Check for a response, whose body it closes if its status is invalid.
func CheckResponse(resp *http.Response) error {
	err := Check(resp.StatusCode)
	if err != nil {
		_ = resp.Body.Close()
	}
	return err
}
