package sse

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// ContentType is the media type of server-sent event streams.
const ContentType = "text/event-stream"

// framingBytes is the capacity reserved for the field names and line breaks of an
// event.
const framingBytes = 16

// Writer writes events to an HTTP response and flushes it after each event.
type Writer struct {
	w          http.ResponseWriter
	controller *http.ResponseController
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w http.ResponseWriter) *Writer {
	return &Writer{w: w, controller: http.NewResponseController(w)}
}

// WriteJSON encodes v as JSON and writes it as one event.
func (w *Writer) WriteJSON(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	return w.Write(data)
}

// Write writes data as one event without an ID. It must not contain line breaks.
func (w *Writer) Write(data []byte) error {
	return w.WriteEvent("", data)
}

// WriteEvent writes data as one event with an ID, which is omitted if empty. Neither
// may contain line breaks.
func (w *Writer) WriteEvent(id string, data []byte) error {
	event := make([]byte, 0, len(id)+len(data)+framingBytes)
	if id != "" {
		event = append(event, "id: "...)
		event = append(event, id...)
		event = append(event, '\n')
	}
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := w.w.Write(event); err != nil {
		return errors.Wrap(err, "write event")
	}
	return errors.Wrap(w.controller.Flush(), "flush event")
}
