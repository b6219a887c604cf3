package standin

import (
	"fmt"
	"net/http"
	"strconv"
)

// Answer is an answer of a Replica that is not the one that was asked for.
type Answer struct {
	Status int
	// Code stands in the place of the status, "" for Status.
	Code string
	// Type is the media type; "" states none.
	Type string
	Body string
	// NotRun says that the request did not run, NoStamp leaves the stamp out.
	NotRun, NoStamp bool
	// Unframed states no length: the body ends with the connection.
	Unframed bool
}

// text returns the answer of a replica to a request.
func (a *Answer) text(replica, request string) string {
	code := a.Code
	if code == "" {
		code = strconv.Itoa(a.Status)
	}
	head := fmt.Sprintf("HTTP/1.1 %s %s\r\nX-Request-Id: %s\r\n", code, http.StatusText(a.Status), request)
	if !a.NoStamp {
		head += "X-Server-Stamp: " + StampOf(replica, request) + "\r\n"
	}
	if a.NotRun {
		head += "X-Not-Run: 1\r\n"
	}
	if a.Type != "" {
		head += "Content-Type: " + a.Type + "\r\n"
	}
	if !a.Unframed && a.Status != http.StatusNoContent {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(a.Body))
	}
	if a.Status == http.StatusNoContent {
		return head + "\r\n"
	}
	return head + "\r\n" + a.Body
}
