package heads

import (
	"bytes"
	"math"
)

// lineKept is how much of each line is kept: enough for a field that says how long a body is.
const lineKept = 64

// state is what the next byte of a connection belongs to.
type state uint8

const (
	// startLine is a request line, or an empty line before it.
	startLine state = iota
	fieldLine
	// body has a stated length.
	body
	// chunkLine holds the size of a chunk and its extensions.
	chunkLine
	chunkData
	trailerLine
	// lost means that it can't be told where the request ends: what follows counts as its head.
	lost
)

// scanner follows the requests on a connection as net/http reads them. It allocates nothing.
type scanner struct {
	state state
	// bytes and fields are those of the head and trailers of the request so far. Lines before the
	// request line count.
	bytes, fields int
	// left is the number of bytes of the body or chunk that are to come.
	left    int64
	length  int64
	chunked bool
	// framing is set if the line before was a field that says how long the body is.
	framing bool
	// malformed is set if a field does not say how long the body is, as net/http reads it.
	malformed bool
	// protocol is the last byte of the request line, the minor version: "0" for HTTP/1.0.
	protocol byte
	// line holds the beginning of the line so far, lineLen its whole length.
	line    [lineKept]byte
	lineLen int
}

// next takes bytes up to the end of a request, at most. It returns how many it took, and whether the
// request ended: what follows is for another scanner.
func (s *scanner) next(p []byte) (n int, ended bool) {
	for n < len(p) && !ended {
		switch s.state {
		case body, chunkData:
			took := min(s.left, int64(len(p)-n))
			n += int(took)
			if s.left -= took; s.left > 0 {
				return n, false
			}
			ended = s.state == body
			s.state = chunkLine
		default:
			took, whole := s.takeLine(p[n:])
			n += took
			if whole {
				ended = s.endLine()
			}
		}
	}
	return n, ended
}

// takeLine takes bytes up to the end of the line, and reports whether they reach it.
func (s *scanner) takeLine(p []byte) (n int, whole bool) {
	n = bytes.IndexByte(p, '\n')
	if whole = n >= 0; !whole {
		n = len(p)
	}
	if s.lineLen < lineKept {
		copy(s.line[s.lineLen:], p[:n])
	}
	s.lineLen += n
	if s.state == startLine {
		if text := bytes.TrimRight(p[:n], "\r"); len(text) > 0 {
			s.protocol = text[len(text)-1]
		}
	}
	if whole {
		n++
	}
	if s.state != chunkLine {
		s.bytes += n
	}
	return n, whole
}

// endLine handles a whole line and reports whether the request ends with it.
func (s *scanner) endLine() bool {
	kept := s.line[:min(s.lineLen, lineKept)]
	if s.lineLen <= lineKept && len(kept) > 0 && kept[len(kept)-1] == '\r' {
		kept = kept[:len(kept)-1]
	}
	empty := len(kept) == 0
	long := s.lineLen > lineKept
	s.lineLen = 0
	switch s.state {
	case startLine:
		if !empty {
			s.state = fieldLine
		}
	case fieldLine:
		if empty {
			return s.endHead()
		}
		s.fields++
		s.readField(kept, long)
	case chunkLine:
		s.readChunkSize(kept)
	case trailerLine:
		if empty {
			return true
		}
		s.fields++
	case lost:
		s.fields++
	}
	return false
}

// endHead begins the body, and reports whether there is none.
func (s *scanner) endHead() bool {
	switch {
	case s.malformed:
		s.state = lost
	case s.chunked:
		s.state = chunkLine
	case s.length > 0:
		s.state, s.left = body, s.length
	default:
		return true
	}
	return false
}

// readField takes the length of the body from a field, if it is one that states it.
func (s *scanner) readField(line []byte, long bool) {
	if line[0] == ' ' || line[0] == '\t' {
		// net/http appends it to the field before.
		s.malformed = s.malformed || s.framing
		return
	}
	s.framing = false
	switch line[0] | 0x20 {
	case 'c':
		if value, found := fieldValue(line, "content-length"); found {
			length, ok := parseLength(value)
			s.framing, s.length = true, length
			s.malformed = s.malformed || long || !ok
		}
	case 't':
		if value, found := fieldValue(line, "transfer-encoding"); found {
			// net/http ignores the field in HTTP/1.0.
			s.malformed = s.malformed || long || s.chunked || s.protocol == '0' || !bytes.EqualFold(value, []byte("chunked"))
			s.framing, s.chunked = true, true
		}
	}
}

// fieldValue returns the value of a field with a name in lower case.
func fieldValue(line []byte, name string) ([]byte, bool) {
	if len(line) <= len(name) || line[len(name)] != ':' {
		return nil, false
	}
	for i := range len(name) {
		if c := line[i]; c != name[i] && (c < 'A' || c > 'Z' || c|0x20 != name[i]) {
			return nil, false
		}
	}
	return bytes.Trim(line[len(name)+1:], " \t"), true
}

// parseLength returns the length that a field states.
func parseLength(digits []byte) (int64, bool) {
	length := int64(0)
	for _, c := range digits {
		if c < '0' || c > '9' || length > (math.MaxInt64-9)/10 {
			return 0, false
		}
		length = length*10 + int64(c-'0')
	}
	return length, len(digits) > 0
}

// readChunkSize begins a chunk, or the trailers.
func (s *scanner) readChunkSize(line []byte) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	size := int64(0)
	for _, c := range digits {
		value := hexValue(c)
		if value < 0 || size >= 1<<58 {
			s.state = lost
			return
		}
		size = size<<4 | value
	}
	switch {
	case len(digits) == 0:
		s.state = lost
	case size == 0:
		s.state = trailerLine
	default:
		// The end of the line behind the data belongs to the chunk.
		s.state, s.left = chunkData, size+2
	}
}

// hexValue returns the value of a hexadecimal digit, or -1.
func hexValue(c byte) int64 {
	switch {
	case c >= '0' && c <= '9':
		return int64(c - '0')
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		return int64(c|0x20-'a') + 10
	default:
		return -1
	}
}

// cost returns the memory that the head is taken to need.
func (s *scanner) cost() int64 {
	return cost(s.bytes, s.fields)
}
