package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmount/peridotmount/completion"
)

// lineChecker checks the lines of a batch file one by one. It keeps a hash of
// each custom id, 8 bytes a line.
type lineChecker struct {
	line int
	// url is that of the first item; a file is for one endpoint.
	url  string
	seen map[uint64]struct{}
}

func newLineChecker() *lineChecker {
	return &lineChecker{seen: make(map[uint64]struct{})}
}

type batchLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

func (l *lineChecker) check(data []byte) error {
	l.line++
	if l.line > maxFileLines {
		return l.fault(fmt.Sprintf("a file has at most %d lines", maxFileLines))
	}
	if len(bytes.TrimSpace(data)) == 0 {
		return nil
	}
	var b batchLine
	if err := json.Unmarshal(data, &b); err != nil {
		return l.fault("not valid JSON: " + err.Error())
	}
	if b.CustomID == "" || len(b.CustomID) > maxCustomIDBytes {
		return l.fault(fmt.Sprintf("custom_id has 1 to %d bytes", maxCustomIDBytes))
	}
	hash := xxhash.Sum64String(b.CustomID)
	if _, found := l.seen[hash]; found {
		return l.fault("custom_id " + b.CustomID + " is given twice")
	}
	l.seen[hash] = struct{}{}
	return l.checkCall(&b)
}

func (l *lineChecker) checkCall(b *batchLine) error {
	if b.Method != http.MethodPost {
		return l.fault("method is not " + http.MethodPost)
	}
	if l.url == "" {
		l.url = b.URL
	}
	if b.URL != l.url {
		return l.fault("url " + b.URL + " differs from " + l.url + " of the lines before")
	}
	request, err := completion.Parse(completion.Kind(b.URL), b.Body)
	if err != nil {
		return l.fault(err.Error())
	}
	if request.Stream {
		return l.fault("body.stream is not for batches")
	}
	return nil
}

func (l *lineChecker) fault(reason string) error {
	return invalid(fmt.Sprintf("file line %d", l.line), fmt.Sprintf("line %d: %s", l.line, reason))
}
