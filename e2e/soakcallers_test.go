package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// soakJob is a batch job and what is known of it.
type soakJob struct {
	id    string
	items int
	// accepted and refused tell the answers; neither means that it isn't known.
	accepted, refused bool
	// results are those read so far, by position.
	results []string
}

// soakCall is one online request and how it ended.
type soakCall struct {
	id     string
	path   string
	status int
	body   string
	err    error
}

// call sends online requests at a gateway, one after the other.
func (s *soak) call(name string, r *rand.Rand) {
	for n := 0; !s.over(); n++ {
		g := s.gateways[r.IntN(len(s.gateways))]
		c := soakCall{id: fmt.Sprintf("%s-%d", name, n), path: []string{"/stream/x", "/check/x", "/once/x"}[r.IntN(3)]}
		answer := g.send(http.MethodPost, c.path, c.id, []byte("prompt"))
		c.status, c.body, c.err = answer.status, string(answer.body), answer.err
		s.mu.Lock()
		s.calls = append(s.calls, c)
		s.mu.Unlock()
		if c.err != nil || c.status != http.StatusOK {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// submit hands jobs in, each again until the answer says what became of it.
func (s *soak) submit(name string, r *rand.Rand) {
	for n := 0; !s.over(); n++ {
		j := &soakJob{id: fmt.Sprintf("%s-%d", name, n), items: 1 + r.IntN(12)}
		for try := 0; try < 40 && !s.handIn(j, r, try); try++ {
			time.Sleep(time.Duration(100+r.IntN(200)) * time.Millisecond)
		}
		s.mu.Lock()
		s.jobs = append(s.jobs, j)
		s.mu.Unlock()
		time.Sleep(time.Duration(r.IntN(600)) * time.Millisecond)
	}
}

// handIn hands a job in once, and reports whether that settles it.
func (s *soak) handIn(j *soakJob, r *rand.Rand, try int) bool {
	g := s.gateways[r.IntN(len(s.gateways))]
	answer := g.send(http.MethodPost, "/lots-in/"+j.id+"/in", j.id, job(j.id, j.items))
	switch {
	case answer.err != nil:
		return false
	case answer.status == http.StatusAccepted:
		j.accepted = true
	case answer.status == http.StatusTooManyRequests:
		// An earlier try may have been taken though it got no answer.
		j.refused = try == 0
	case answer.status == http.StatusServiceUnavailable, answer.status == http.StatusGatewayTimeout:
		return false
	default:
		s.t.Errorf("job %s at %s: status %d: %s", j.id, g.name, answer.status, answer.body)
	}
	return true
}

// poll reads jobs that were accepted, at any gateway, and checks that no position
// ever changes.
func (s *soak) poll(r *rand.Rand) {
	for !s.over() {
		time.Sleep(20 * time.Millisecond)
		if j := s.someJob(r); j != nil {
			s.readJob(j, s.gateways[r.IntN(len(s.gateways))])
		}
	}
}

func (s *soak) someJob(r *rand.Rand) *soakJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.jobs) == 0 {
		return nil
	}
	if j := s.jobs[r.IntN(len(s.jobs))]; j.accepted {
		return j
	}
	return nil
}

// newestJob returns the job that was accepted last, which is open if one is, or nil.
func (s *soak) newestJob() *soakJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range slices.Backward(s.jobs) {
		if j.accepted {
			return j
		}
	}
	return nil
}

// readJob reads a job from its beginning, and returns how many results it showed.
func (s *soak) readJob(j *soakJob, g *gateway) int {
	answer := g.send(http.MethodGet, "/lots/"+j.id+"?after=0", "", nil)
	if answer.err != nil || answer.status == http.StatusServiceUnavailable {
		return 0
	}
	if answer.status != http.StatusOK {
		s.t.Errorf("accepted job %s at %s: status %d: %s", j.id, g.name, answer.status, answer.body)
		return 0
	}
	var shown lot
	if err := json.Unmarshal(answer.body, &shown); err != nil || shown.Total != j.items || shown.Next != len(shown.Results) {
		s.t.Errorf("job %s at %s: %d of %d items, next %d behind %d results, error %v", j.id, g.name, shown.Total, j.items, shown.Next, len(shown.Results), err)
		return 0
	}
	runs := s.runs()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, result := range shown.Results {
		done := result.State == "done" && s.isOutput(result.ID, result.Output)
		dead := result.State == "dead_letter" && runs[result.ID] >= soakJobAttempts
		if !done && !dead {
			s.t.Errorf("job %s at %s: position %d after %d runs: %+v", j.id, g.name, i, runs[result.ID], result)
		}
		switch {
		case i == len(j.results):
			j.results = append(j.results, result.ID)
		case j.results[i] != result.ID:
			s.t.Errorf("job %s at %s: position %d is %s and was %s", j.id, g.name, i, result.ID, j.results[i])
		}
	}
	return len(shown.Results)
}

// check judges how an online request ended by what it was answered and by how
// often it was run.
func (c *soakCall) check(runs int) string {
	whole := "answer to " + c.id
	if strings.HasPrefix(c.path, "/stream/") {
		whole = wholeStream(c.id, soakEvents)
	}
	answered := c.err == nil && c.status == http.StatusOK
	switch {
	case answered && c.body != whole:
		return "the answer is wrong"
	case c.status == http.StatusOK && !strings.HasPrefix(whole, c.body):
		return "what came of the answer is wrong"
	case c.err == nil && c.status == http.StatusServiceUnavailable && runs > 0:
		return "it ran, and the answer is that it did not"
	case c.err == nil && c.status == http.StatusNotFound:
		return "its route is not known"
	case c.path == "/once/x" && runs > 1, runs > soakAttempts:
		return "it ran too often"
	}
	return ""
}

// statusAt asks a gateway once.
func (g *gateway) statusAt(path, id string) int {
	req, err := http.NewRequest(http.MethodPost, g.callers+path, nil)
	if err != nil {
		return 0
	}
	req.Host = routedHost
	req.Header.Set("X-Request-Id", id)
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
