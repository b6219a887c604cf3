package standin

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/sse"
)

// StreamFault is a failure of every stream of a FaultyEngine.
type StreamFault string

// Faults of streams.
const (
	FaultNone StreamFault = "none"
	// FaultRefuse and FaultLeave refuse a stream before admitting it.
	FaultRefuse StreamFault = "refuse"
	FaultLeave  StreamFault = "leave"
	// FaultBreakBeforeHeader admits the stream and breaks the connection.
	FaultBreakBeforeHeader StreamFault = "break-before-header"
	// FaultBreakMidway breaks the connection after faultOffset tokens.
	FaultBreakMidway StreamFault = "break-midway"
	// FaultStall sends nothing more after faultOffset tokens.
	FaultStall StreamFault = "stall"
	// The faults below send one wrong frame after faultOffset tokens.
	FaultForeign   StreamFault = "foreign-frame"
	FaultRepeat    StreamFault = "repeated-frame"
	FaultGap       StreamFault = "gap"
	FaultMalformed StreamFault = "malformed-frame"
	FaultOversized StreamFault = "oversized-frame"
	// FaultLate sends a token after the last frame.
	FaultLate StreamFault = "late-frame"
)

// faultOffset is the offset at which a stream's fault comes.
const faultOffset = 3

// FaultyEngine is an engine endpoint whose streams all fail in one way. It
// notes which streams it admitted.
type FaultyEngine struct {
	fault StreamFault

	mu       sync.Mutex
	admitted []string
}

// NewFaultyEngine returns a FaultyEngine.
func NewFaultyEngine(fault StreamFault) *FaultyEngine {
	return &FaultyEngine{fault: fault}
}

// Admitted returns the ids of the streams that were admitted.
func (e *FaultyEngine) Admitted() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.admitted...)
}

// ServeHTTP implements http.Handler.
func (e *FaultyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.CallHeader, r.Header.Get(engine.CallHeader))
	if r.Method != http.MethodPost || r.URL.Path != "/streams" {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	var req engine.StreamRequest
	if err := httpjson.ReadBody(r, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.refuses(w) {
		return
	}
	e.mu.Lock()
	e.admitted = append(e.admitted, req.StreamID)
	e.mu.Unlock()
	if e.fault == FaultBreakBeforeHeader {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", sse.ContentType)
	e.stream(w, r, &req)
}

func (e *FaultyEngine) refuses(w http.ResponseWriter) bool {
	switch e.fault {
	case FaultLeave:
		w.Header().Set(engine.ReasonHeader, engine.ReasonLeaving)
	case FaultRefuse:
	default:
		return false
	}
	http.Error(w, "refused", http.StatusServiceUnavailable)
	return true
}

func (e *FaultyEngine) stream(w http.ResponseWriter, r *http.Request, req *engine.StreamRequest) {
	out := sse.NewWriter(w)
	for i := len(req.Prior); i < req.MaxTokens; i++ {
		if i == faultOffset && !e.spoil(out, r, req) {
			return
		}
		_ = out.WriteJSON(engine.Frame{StreamID: req.StreamID, Offset: i, Token: Token(req, i)})
	}
	_ = out.WriteJSON(engine.Frame{StreamID: req.StreamID, Offset: req.MaxTokens, Finish: engine.FinishLength})
	if e.fault == FaultLate {
		_ = out.WriteJSON(engine.Frame{StreamID: req.StreamID, Offset: req.MaxTokens + 1, Token: "late"})
	}
}

// spoil plays the fault and reports whether the stream goes on after it.
func (e *FaultyEngine) spoil(out *sse.Writer, r *http.Request, req *engine.StreamRequest) bool {
	switch e.fault {
	case FaultBreakMidway:
		panic(http.ErrAbortHandler)
	case FaultStall:
		<-r.Context().Done()
		return false
	case FaultForeign:
		_ = out.WriteJSON(engine.Frame{StreamID: "another", Offset: faultOffset, Token: "foreign"})
	case FaultRepeat:
		_ = out.WriteJSON(engine.Frame{StreamID: req.StreamID, Offset: faultOffset - 1, Token: Token(req, faultOffset-1)})
	case FaultGap:
		_ = out.WriteJSON(engine.Frame{StreamID: req.StreamID, Offset: faultOffset + 1, Token: Token(req, faultOffset+1)})
	case FaultMalformed:
		_ = out.Write([]byte(`{"stream_id":`))
	case FaultOversized:
		_ = out.Write([]byte(fmt.Sprintf(`{"token":%q}`, strings.Repeat("x", sse.MaxEventBytes))))
	}
	return true
}
