package entry

import (
	"net/http"

	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"

	"github.com/peridotmount/peridotmount/completion"
	"github.com/peridotmount/peridotmount/timeline"
)

// Entry answers callers.
type Entry struct {
	opts     Options
	logger   log.Logger
	requests Requests
	runs     *runTable
	recorder *recorder
	outage   *outage
	metrics  *metrics
	shutdown *shutdown
	slots    chan struct{}
	answers  *answerReader
}

// New returns an Entry; add its Services to a supervisor to run it.
func New(opts Options) *Entry {
	e := &Entry{
		opts:     opts,
		logger:   log.With(opts.Logger, "duty", timeline.DutyEntry),
		requests: opts.Requests,
		runs:     newRunTable(maxKeyedRuns),
		outage:   newOutage(),
		slots:    make(chan struct{}, maxConcurrent),
		shutdown: newShutdown(),
		answers:  newAnswerReader(),
	}
	if e.requests == nil {
		e.requests = opts.Keeper
	}
	e.recorder = newRecorder(e, maxKeyedRuns)
	e.metrics = newMetrics(opts.Registerer)
	return e
}

// Services returns the duties to supervise.
func (e *Entry) Services() []suture.Service {
	return []suture.Service{e.recorder}
}

// Handler returns the handler of the callers' listener.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	e.route(mux, "GET /v1/models", e.listModels)
	e.route(mux, "GET /v1/models/{model}", e.getModel)
	e.route(mux, "POST /v1/chat/completions", e.limited(e.completions(completion.Chat)))
	e.route(mux, "POST /v1/completions", e.limited(e.completions(completion.Text)))
	e.route(mux, "POST /v1/files", e.limited(e.createFile))
	e.route(mux, "GET /v1/files", e.listFiles)
	e.route(mux, "GET /v1/files/{id}", e.getFile)
	e.route(mux, "DELETE /v1/files/{id}", e.deleteFile)
	e.route(mux, "GET /v1/files/{id}/content", e.fileContent)
	e.route(mux, "POST /v1/batches", e.limited(e.createBatch))
	e.route(mux, "GET /v1/batches", e.listBatches)
	e.route(mux, "GET /v1/batches/{id}", e.getBatch)
	e.route(mux, "POST /v1/batches/{id}/cancel", e.cancelBatch)
	e.route(mux, "GET /v1/requests/{id}", e.getRequest)
	e.route(mux, "/svc/{service}/", e.limited(e.plainCall))
	e.route(mux, "/", e.noRoute)
	return mux
}

func (e *Entry) route(mux *http.ServeMux, pattern string, h handler) {
	mux.HandleFunc(pattern, e.handle(h))
}
