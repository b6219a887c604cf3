package detour

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/upstream"
)

// errLineTooLong means that a line of JSON exceeds its bound.
var errLineTooLong = errors.New("line exceeds its bound")

// newCallRequest returns the request that has a host make a call.
func newCallRequest(ctx context.Context, host *peers.Host, id string, call *upstream.Call) (*http.Request, error) {
	process := ""
	if c := call.Check; c != nil && !c.AtEnd {
		process = c.Process
	}
	head, err := json.Marshal(callHead{
		Process:  process,
		Endpoint: id, Request: call.Request, Method: call.Method, Target: []byte(call.Target), Host: []byte(call.Host),
		Header: encodeHeader(call.Header), Bytes: len(call.Body),
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode call")
	}
	body := make([]byte, 0, len(head)+1+len(call.Body))
	body = append(append(append(body, head...), '\n'), call.Body...)
	return newRequest(ctx, host, CallPath, body)
}

// newRequest returns a request to a host.
func newRequest(ctx context.Context, host *peers.Host, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, host.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+host.Token)
	return req, nil
}

// readCall reads a call.
func readCall(body io.Reader) (*callHead, []byte, error) {
	reader := bufio.NewReaderSize(body, copyBuffer)
	line, err := readLine(reader, maxHeadBytes)
	if err != nil {
		return nil, nil, err
	}
	var head callHead
	if err := json.Unmarshal(line, &head); err != nil {
		return nil, nil, errors.Wrap(err, "head of the call")
	}
	if head.Bytes < 0 || head.Bytes > maxCallBytes {
		return nil, nil, errors.Errorf("body of %d bytes", head.Bytes)
	}
	content := make([]byte, head.Bytes)
	_, err = io.ReadFull(reader, content)
	return &head, content, errors.Wrap(err, "body of the call")
}

// readRefusal reads the answer of a host that brought no response of the endpoint. The error is
// ErrNotSent, ErrNoResponse or ErrPathLost.
func readRefusal(resp *http.Response) (outcome, error) {
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusUnauthorized:
		// Another process than that of the host's record serves its address.
		return leaving, errors.Wrap(upstream.ErrNotSent, "the host has another token than its record")
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return unlisted, errors.Wrap(upstream.ErrNotSent, "the host makes no calls for others")
	case http.StatusServiceUnavailable:
	default:
		return lost, errors.Wrap(upstream.ErrPathLost, resp.Status)
	}
	// The reason is for the log alone; without it the outcome holds.
	var r refusal
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxHeadBytes)).Decode(&r)
	switch result := outcome(resp.Header.Get(outcomeHeader)); result {
	case "":
		// The listener had no connection left, and no call was read.
		return busy, errors.Wrap(upstream.ErrNotSent, "the host is full")
	case busy, stranded, leaving, unlisted, unsent:
		return result, errors.Wrap(upstream.ErrNotSent, r.Reason)
	case unanswered:
		return result, errors.Wrap(upstream.ErrNoResponse, r.Reason)
	default:
		return lost, errors.Wrapf(upstream.ErrPathLost, "unknown outcome %q", result)
	}
}

// readLine reads a line of at most limit bytes, without its end.
func readLine(r *bufio.Reader, limit int) ([]byte, error) {
	var out []byte
	for {
		part, err := r.ReadSlice('\n')
		out = append(out, part...)
		switch {
		case len(out) > limit:
			return nil, errors.WithStack(errLineTooLong)
		case err == nil:
			return out[:len(out)-1], nil
		case err != bufio.ErrBufferFull:
			return nil, errors.Wrap(err, "read line")
		}
	}
}

// encodeHeader returns headers as HTTP/1 has them, byte for byte: JSON text holds no bytes that are
// not UTF-8.
func encodeHeader(h http.Header) []byte {
	var out bytes.Buffer
	// Writing to a buffer can't fail.
	_ = h.Write(&out)
	return out.Bytes()
}

// decodeHeader reads headers as encodeHeader returns them.
func decodeHeader(encoded []byte) (http.Header, error) {
	if len(encoded) == 0 {
		return http.Header{}, nil
	}
	reader := textproto.NewReader(bufio.NewReader(io.MultiReader(bytes.NewReader(encoded), strings.NewReader("\r\n"))))
	h, err := reader.ReadMIMEHeader()
	return http.Header(h), errors.Wrap(err, "headers")
}
