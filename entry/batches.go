package entry

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"

	"github.com/peridotmount/peridotmount/completion"
	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/keeper"
	"github.com/peridotmount/peridotmount/ledger"
)

type createBatchBody struct {
	InputFileID      string          `json:"input_file_id"`
	Endpoint         string          `json:"endpoint"`
	CompletionWindow string          `json:"completion_window"`
	Metadata         ledger.Metadata `json:"metadata"`
}

// metadataJobName names the job; the customer's jobs of one name are one job.
const metadataJobName = "job_name"

type batchCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

type batchBody struct {
	ID               string          `json:"id"`
	Object           string          `json:"object"`
	Endpoint         string          `json:"endpoint"`
	InputFileID      string          `json:"input_file_id"`
	CompletionWindow string          `json:"completion_window"`
	Status           string          `json:"status"`
	OutputFileID     string          `json:"output_file_id,omitempty"`
	ErrorFileID      string          `json:"error_file_id,omitempty"`
	CreatedAt        int64           `json:"created_at"`
	ExpiresAt        int64           `json:"expires_at"`
	RequestCounts    batchCounts     `json:"request_counts"`
	Metadata         ledger.Metadata `json:"metadata"`
}

// Suffixes that make the ids of a job's files from the job's id.
const (
	outputSuffix = "-output"
	errorSuffix  = "-error"
)

// outputJob returns the job whose output or error file has the given id.
func outputJob(id string) (job string, errorLines, ok bool) {
	if job, ok := strings.CutSuffix(id, outputSuffix); ok {
		return job, false, true
	}
	if job, ok := strings.CutSuffix(id, errorSuffix); ok {
		return job, true, true
	}
	return "", false, false
}

func newBatchBody(j *ledger.Job) batchBody {
	b := batchBody{
		ID:               j.Job,
		Object:           "batch",
		Endpoint:         j.Endpoint,
		InputFileID:      j.InputFile,
		CompletionWindow: formatWindow(j.DueUnix - j.CreatedUnix),
		Status:           string(j.Status),
		CreatedAt:        j.CreatedUnix,
		ExpiresAt:        j.DueUnix,
		RequestCounts:    batchCounts{Total: j.Count, Completed: j.Completed, Failed: j.Failed},
		Metadata:         j.Metadata,
	}
	if j.Status != ledger.JobRunning {
		b.OutputFileID = j.Job + outputSuffix
		b.ErrorFileID = j.Job + errorSuffix
	}
	return b
}

func (e *Entry) createBatch(w http.ResponseWriter, r *http.Request, c *caller) error {
	body, err := e.readBody(w, r)
	if err != nil {
		return err
	}
	var b createBatchBody
	if err := json.Unmarshal(body, &b); err != nil {
		return invalid("body", "not a valid batch: "+err.Error())
	}
	message, err := newJobMessage(r, c, &b)
	if err != nil {
		return err
	}
	job, err := e.opts.Keeper.CreateJob(r.Context(), message)
	if err != nil {
		return err
	}
	e.record(c.id, "job-accepted", job.Job)
	httpjson.WriteJSON(w, http.StatusAccepted, newBatchBody(job))
	return nil
}

// newJobMessage names the job by the caller's key or name; a job with neither
// is named by its input file.
func newJobMessage(r *http.Request, c *caller, b *createBatchBody) (*keeper.CreateJobMessage, error) {
	switch completion.Kind(b.Endpoint) {
	case completion.Chat, completion.Text:
	default:
		return nil, invalid("endpoint", "no batches for endpoint "+b.Endpoint)
	}
	if b.InputFileID == "" {
		return nil, invalid("input_file_id", "input_file_id is missing")
	}
	window, err := parseWindow(b.CompletionWindow)
	if err != nil {
		return nil, err
	}
	if err := checkMetadata(b.Metadata); err != nil {
		return nil, err
	}
	name := r.Header.Get(HeaderIdempotencyKey)
	if name == "" {
		name = b.Metadata[metadataJobName]
	}
	if name == "" {
		name = b.InputFileID
	}
	return &keeper.CreateJobMessage{
		Customer:      c.customer.Name,
		Name:          name,
		InputFile:     b.InputFileID,
		Endpoint:      b.Endpoint,
		WindowSeconds: window,
		Metadata:      b.Metadata,
	}, nil
}

func (e *Entry) getBatch(w http.ResponseWriter, r *http.Request, c *caller) error {
	job, err := e.opts.Keeper.Job(r.Context(), c.customer.Name, r.PathValue("id"))
	if err != nil {
		return err
	}
	httpjson.WriteJSON(w, http.StatusOK, newBatchBody(job))
	return nil
}

func (e *Entry) cancelBatch(w http.ResponseWriter, r *http.Request, c *caller) error {
	job, err := e.opts.Keeper.CancelJob(r.Context(), c.customer.Name, r.PathValue("id"))
	if err != nil {
		return err
	}
	w.Header().Set(HeaderRunState, string(dispatch.Completed))
	httpjson.WriteJSON(w, http.StatusOK, newBatchBody(job))
	return nil
}

type batchList struct {
	Object  string      `json:"object"`
	Data    []batchBody `json:"data"`
	FirstID string      `json:"first_id,omitempty"`
	LastID  string      `json:"last_id,omitempty"`
	HasMore bool        `json:"has_more"`
}

// listBatches lists the customer's jobs, the newest first.
func (e *Entry) listBatches(w http.ResponseWriter, r *http.Request, c *caller) error {
	p, err := readPage(r)
	if err != nil {
		return err
	}
	jobs, err := e.opts.Keeper.Jobs(r.Context(), c.customer.Name)
	if err != nil {
		return err
	}
	list, err := newBatchList(jobs, p)
	if err != nil {
		return err
	}
	httpjson.WriteJSON(w, http.StatusOK, list)
	return nil
}

func newBatchList(jobs []ledger.Job, p page) (*batchList, error) {
	sort.Slice(jobs, func(i, j int) bool {
		if jobs[i].CreatedUnix != jobs[j].CreatedUnix {
			return jobs[i].CreatedUnix > jobs[j].CreatedUnix
		}
		return jobs[i].Job < jobs[j].Job
	})
	from, to, more, err := p.cut(len(jobs), func(i int) string { return jobs[i].Job })
	if err != nil {
		return nil, err
	}
	list := &batchList{Object: objectList, Data: []batchBody{}, HasMore: more}
	for i := from; i < to; i++ {
		list.Data = append(list.Data, newBatchBody(&jobs[i]))
	}
	if len(list.Data) > 0 {
		list.FirstID = list.Data[0].ID
		list.LastID = list.Data[len(list.Data)-1].ID
	}
	return list, nil
}
