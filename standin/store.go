package standin

import (
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/peridotmount/peridotmount/httpjson"
)

// Store plays the platform's metadata store in memory: a log of topics and
// partitions, of which those with keys keep the newest record of each.
type Store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	faults     StoreFaults
	pace       *rate.Limiter
	stats      StoreStats
	// grown is closed and replaced when a record is appended.
	grown chan struct{}
}

// StoreStats counts what a Store did.
type StoreStats struct {
	// Appends are those that took effect, Reads the calls that read, Throttled
	// the appends refused for the limit of their rate.
	Appends   int64 `json:"appends"`
	Reads     int64 `json:"reads"`
	Throttled int64 `json:"throttled"`
	// Records counts the records that were appended, by topic and partition.
	Records map[string]int64 `json:"records"`
}

// TrimRequest asks a Store to forget the records of a partition before an offset,
// or all of them if it is negative; keys keep their newest record.
type TrimRequest struct {
	Topic     string `json:"topic"`
	Partition int    `json:"partition"`
	Before    int64  `json:"before"`
}

// maxStoreCall bounds the body of an append, maxStoreRecord a record in it, in
// bytes.
const (
	maxStoreCall   = 2 << 20
	maxStoreRecord = 256 << 10
)

// keyedTopics starts the names of topics with keys.
const keyedTopics = "keyed."

// errMalformed means that a call can't be read.
var errMalformed = errors.New("call is malformed")

// NewStore returns an empty Store that begins with faults.
func NewStore(f StoreFaults) *Store {
	s := &Store{partitions: make(map[string]*partition), grown: make(chan struct{})}
	s.play(f)
	return s
}

// play applies new faults; the caller holds the lock, or owns the Store.
func (s *Store) play(f StoreFaults) {
	s.faults = f
	limit := rate.Inf
	if f.AppendsPerSecond > 0 {
		limit = rate.Limit(f.AppendsPerSecond)
	}
	s.pace = rate.NewLimiter(limit, max(1, int(f.AppendsPerSecond)))
}

// SetFaults applies new faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.play(f)
}

// Handler returns the service's HTTP handler. Paths under /standin/ are for tests
// and suffer no faults.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.faulty(s.append))
	mux.HandleFunc("GET /log-read", s.faulty(s.read))
	mux.HandleFunc("GET /log-newest", s.faulty(s.newest))
	mux.HandleFunc("PUT /standin/faults", s.setFaults)
	mux.HandleFunc("POST /standin/trim", s.trim)
	mux.HandleFunc("GET /standin/stats", s.readStats)
	mux.HandleFunc("PUT /standin/keys/{topic}/{key}", s.putKey)
	mux.HandleFunc("DELETE /standin/keys/{topic}/{key}", s.deleteKey)
	return mux
}

// faulty answers calls that the store turns away in the place of next.
func (s *Store) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
		if !f.strikes(r.RemoteAddr, r.URL.Query().Get("topic")) {
			next(w, r)
			return
		}
		switch f.Outage {
		case OutageBusy:
			http.Error(w, "outage", http.StatusServiceUnavailable)
		case OutageThrottled:
			http.Error(w, "outage", http.StatusTooManyRequests)
		case OutageReset:
			reset(w)
		case OutageSilent:
			<-r.Context().Done()
		}
	}
}

// reset closes the connection of a call without an answer.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (s *Store) partition(topic string, part int) *partition {
	name := topic + "/" + strconv.Itoa(part)
	p := s.partitions[name]
	if p == nil {
		p = &partition{keyed: strings.HasPrefix(topic, keyedTopics), keys: make(map[string]storedRecord)}
		s.partitions[name] = p
	}
	return p
}

// partitionOf returns the partition that a call names; the lock is held.
func (s *Store) partitionOf(r *http.Request) (*partition, error) {
	topic := r.URL.Query().Get("topic")
	part, err := strconv.Atoi(r.URL.Query().Get("part"))
	if topic == "" || err != nil || part < 0 {
		return nil, errors.Wrap(errMalformed, "topic or part")
	}
	return s.partition(topic, part), nil
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStoreCall))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	records, err := unframe(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(s.appendDelay())
	s.mu.Lock()
	defer s.mu.Unlock()
	p, err := s.partitionOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	at := r.URL.Query().Get("at")
	switch {
	case !s.pace.Allow():
		s.stats.Throttled++
		http.Error(w, "append rate", http.StatusTooManyRequests)
	case at != "" && at != strconv.FormatInt(p.end, 10):
		httpjson.WriteJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": p.end})
	case s.faults.LoseAppends > 0:
		s.faults.LoseAppends--
		reset(w)
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
		s.appendLate(p, records)
		reset(w)
	default:
		first := s.add(p, records)
		httpjson.WriteJSON(w, http.StatusOK, map[string]int64{"offset": first, "end": p.end})
	}
}

func (s *Store) appendDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.faults.DelayMillis) * time.Millisecond
}

// appendLate does an append whose answer is lost, now or after the delay of the
// faults. The lock is held.
func (s *Store) appendLate(p *partition, records [][]byte) {
	if s.faults.LateMillis == 0 {
		s.add(p, records)
		return
	}
	time.AfterFunc(time.Duration(s.faults.LateMillis)*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.add(p, records)
	})
}

// add appends records and wakes those that wait for some. The lock is held.
func (s *Store) add(p *partition, records [][]byte) int64 {
	s.stats.Appends++
	first := p.append(records, time.Now())
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	limit := 1024
	if kb, err := strconv.Atoi(r.URL.Query().Get("max_kb")); err == nil && kb > 0 {
		limit = kb
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	over := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer over.Stop()
	for {
		body, grown, err := s.page(r, from, limit<<10)
		switch {
		case errors.Is(err, errTrimmed):
			httpjson.WriteJSON(w, http.StatusGone, map[string]int64{"first": s.firstOf(r)})
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		waiting := len(body) == pageHead
		if waiting {
			select {
			case <-grown:
				continue
			case <-r.Context().Done():
				return
			case <-over.C:
			}
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(body)
		return
	}
}

// page returns the answer to a read, and what is closed when there is more.
func (s *Store) page(r *http.Request, from int64, limit int) ([]byte, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	p, err := s.partitionOf(r)
	if err != nil {
		return nil, nil, err
	}
	p.expire(&s.faults, time.Now())
	body, err := p.page(from, limit)
	return body, s.grown, err
}

// firstOf returns the first offset that the partition of a call keeps.
func (s *Store) firstOf(r *http.Request) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, err := s.partitionOf(r)
	if err != nil {
		return 0
	}
	return p.first()
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	p, err := s.partitionOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	httpjson.WriteJSON(w, http.StatusOK, p.newest(r.URL.Query().Get("after")))
}

func (s *Store) setFaults(w http.ResponseWriter, r *http.Request) {
	var f StoreFaults
	if err := httpjson.ReadBody(r, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) trim(w http.ResponseWriter, r *http.Request) {
	var t TrimRequest
	if err := httpjson.ReadBody(r, &t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Trim(t)
	w.WriteHeader(http.StatusNoContent)
}

// Trim forgets records.
func (s *Store) Trim(t TrimRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(t.Topic, t.Partition)
	if t.Before < 0 {
		t.Before = p.end
	}
	p.trim(t.Before)
}

// Put writes a key, as those do that write to the store on their own behalf.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.add(s.partition(topic, 0), [][]byte{append(record, value...)})
}

func (s *Store) putKey(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStoreCall))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.Put(r.PathValue("topic"), r.PathValue("key"), value)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) deleteKey(w http.ResponseWriter, r *http.Request) {
	s.Put(r.PathValue("topic"), r.PathValue("key"), nil)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) readStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Records = make(map[string]int64)
	for name, p := range s.partitions {
		out.Records[name] = p.end
	}
	httpjson.WriteJSON(w, http.StatusOK, out)
}

// unframe reads the records of an append: each with its length in front.
func unframe(body []byte) ([][]byte, error) {
	var out [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, errors.Wrap(errMalformed, "length of a record")
		}
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			return nil, errors.Wrap(errMalformed, "record is cut")
		}
		if n > maxStoreRecord {
			return nil, errors.Wrapf(errMalformed, "record of %d bytes", n)
		}
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out, nil
}

// newestItem is one key in the listing of a partition.
type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// newestPage is a page of that listing.
type newestPage struct {
	Items []newestItem `json:"items"`
	More  bool         `json:"more"`
	End   int64        `json:"end"`
}
