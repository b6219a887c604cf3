package rawhttp

import (
	"fmt"
	"slices"
	"strings"
)

// Form is a form that an answer of status 200 may have.
type Form struct {
	Name string
	// interim is what comes before the head.
	interim string
	proto   string
	// framing are the head's lines that say where the body ends; there is none if open.
	framing func(body string) string
	encode  func(body string) string
	// open answers end with the connection.
	open bool
	// bare ends the lines of the head by a newline alone.
	bare bool
	// empty answers have no body.
	empty bool
}

const (
	http11 = "HTTP/1.1"
	http10 = "HTTP/1.0"
)

func stated(body string) string  { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }
func inChunks(string) string     { return "Transfer-Encoding: chunked\r\n" }
func announced(string) string    { return "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n" }
func closing(string) string      { return "Connection: close\r\n" }
func unstated(string) string     { return "" }
func plain(body string) string   { return body }
func chunked(body string) string { return chunks(body) + "\r\n" }
func trailed(body string) string { return chunks(body) + "X-End: y\r\n\r\n" }

// chunks returns a body as two chunks and the last chunk, without the end of the message.
func chunks(body string) string {
	half := len(body) / 2
	return fmt.Sprintf("%x\r\n%s\r\n%x;x=y\r\n%s\r\n0\r\n", half, body[:half], len(body)-half, body[half:])
}

// Forms returns all forms.
func Forms() []Form {
	const earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	return []Form{
		{Name: "length", proto: http11, framing: stated, encode: plain},
		{Name: "length 0", proto: http11, framing: stated, encode: plain, empty: true},
		{Name: "length, HTTP/1.0", proto: http10, framing: stated, encode: plain},
		{Name: "length, bare newlines", proto: http11, framing: stated, encode: plain, bare: true},
		{Name: "length, behind informational", proto: http11, interim: earlyHints, framing: stated, encode: plain},
		{Name: "chunks", proto: http11, framing: inChunks, encode: chunked},
		{Name: "chunks and trailer", proto: http11, framing: announced, encode: trailed},
		{Name: "chunks, behind informational", proto: http11, interim: "HTTP/1.1 100 Continue\r\n\r\n", framing: inChunks, encode: chunked},
		{Name: "open", proto: http11, framing: unstated, encode: plain, open: true},
		{Name: "open, announced", proto: http11, framing: closing, encode: plain, open: true},
		{Name: "open, empty", proto: http11, framing: unstated, encode: plain, open: true, empty: true},
		{Name: "open, HTTP/1.0", proto: http10, framing: unstated, encode: plain, open: true},
		{Name: "open, bare newlines", proto: http11, framing: unstated, encode: plain, open: true, bare: true},
		{Name: "open, behind informational", proto: http11, interim: earlyHints, framing: unstated, encode: plain, open: true},
	}
}

// FormNamed returns a form by its name, or nil.
func FormNamed(name string) *Form {
	forms := Forms()
	i := slices.IndexFunc(forms, func(f Form) bool { return f.Name == name })
	if i < 0 {
		return nil
	}
	return &forms[i]
}

// Message is an answer as it is written to a connection.
type Message struct {
	Bytes string
	// Body is the whole body.
	Body string
	// head is the number of bytes until the end of the final head.
	head int
	open bool
}

// Message returns the answer with header lines, each with its end, and a body.
func (f *Form) Message(lines, body string) Message {
	if f.empty {
		body = ""
	}
	head := f.proto + " 200 OK\r\n" + lines + f.framing(body) + "\r\n"
	if f.bare {
		head = strings.ReplaceAll(head, "\r\n", "\n")
	}
	head = f.interim + head
	return Message{Bytes: head + f.encode(body), Body: body, head: len(head), open: f.open}
}

// Head returns the number of bytes until the end of the final head.
func (m *Message) Head() int {
	return m.head
}

// Open reports whether the message ends with its connection.
func (m *Message) Open() bool {
	return m.open
}

// Complete reports whether the first n bytes of the message, followed by the end of the
// connection, are a complete message. A body without a length that ends regularly is.
func (m *Message) Complete(n int, reset bool) bool {
	if m.open {
		return n >= m.head && !reset
	}
	return n == len(m.Bytes)
}

// BodyOf returns what the first n bytes of the message, if they are complete, hold of its body.
func (m *Message) BodyOf(n int) string {
	if m.open {
		return m.Bytes[m.head:n]
	}
	return m.Body
}
