package rawhttp

import (
	"io"
	"net"
	"net/http"
)

// InvalidStatuses returns three characters that stand in the place of a status and are none of HTTP, which has 100 to
// 599. net/http takes each of them for one.
func InvalidStatuses() []string {
	return []string{"000", "001", "042", "099", "-00", "+20", "600", "777", "999"}
}

// AnswerStatus answers each request, once it was read, with three characters in the place of a status and an empty JSON object.
func AnswerStatus(status string) Answer {
	return func(c *net.TCPConn, req *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 "+status+" OK\r\nContent-Length: 2\r\n\r\n{}")
		return false
	}
}
