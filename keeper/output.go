package keeper

import (
	"encoding/json"
	"fmt"

	"github.com/peridotmount/peridotmount/completion"
)

// OutputLine is one line of a job's output or error file.
type OutputLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *OutputResponse `json:"response"`
	Error    *OutputError    `json:"error"`
}

// OutputResponse is the response to one item.
type OutputResponse struct {
	StatusCode int                 `json:"status_code"`
	RequestID  string              `json:"request_id"`
	Body       completion.Response `json:"body"`
}

// OutputError is the reason why an item has no response.
type OutputError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

const codeCanceled = "cancelled"

// canceledLine returns the error line of an item that had no result when its job
// was cancelled.
func canceledLine(job string, index int, customID string) []byte {
	// Encoding cannot fail: the line holds only text and numbers.
	line, _ := json.Marshal(OutputLine{
		ID:       fmt.Sprintf("%s.%d", job, index),
		CustomID: customID,
		Error:    &OutputError{Code: codeCanceled, Message: "the job was cancelled"},
	})
	return line
}
