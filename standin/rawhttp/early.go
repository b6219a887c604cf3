package rawhttp

import (
	"io"
	"net"
	"net/http"
	"time"
)

// AnswerEarly sends an answer once it has read the beginning of a request, and resets the connection while the rest is
// written. It is for endpoints of StartUnread.
func AnswerEarly(answer string) Answer {
	return func(c *net.TCPConn, req *http.Request, _ int) bool {
		_, _ = io.ReadFull(req.Body, make([]byte, 1<<10))
		_, _ = io.WriteString(c, answer)
		// The caller reads the answer before the reset.
		time.Sleep(2 * time.Millisecond)
		_ = c.SetLinger(0)
		return false
	}
}
