package keeper

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpjson"
)

type statusOfCause struct {
	cause  error
	status int
}

// statuses maps the keeper's errors to the HTTP statuses that represent them in
// responses between hosts. The mapping is one to one, so that the client can
// recover the error.
var statuses = []statusOfCause{
	{ErrNotLeader, http.StatusMisdirectedRequest},
	{ErrNoLeader, http.StatusServiceUnavailable},
	{ErrNotFound, http.StatusNotFound},
	{ErrConflict, http.StatusConflict},
	{ErrInvalid, http.StatusUnprocessableEntity},
	{ErrBusy, http.StatusTooManyRequests},
	{ErrUnavailable, http.StatusBadGateway},
	{ErrTrimmed, http.StatusGone},
}

// Handler serves calls of other hosts to the partitions that this host leads, and
// locate calls for all partitions.
func (k *Keeper) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, k, opPutChunk)
	handle(mux, k, opCommitFile)
	handle(mux, k, opFile)
	handle(mux, k, opReadFile)
	handle(mux, k, opFiles)
	handle(mux, k, opDeleteFile)
	handle(mux, k, opCreateJob)
	handle(mux, k, opJob)
	handle(mux, k, opJobs)
	handle(mux, k, opCancelJob)
	handle(mux, k, opReadOutput)
	handle(mux, k, opStartRequest)
	handle(mux, k, opFinishRequest)
	handle(mux, k, opRequest)
	mux.HandleFunc("POST /ledger/{partition}/locate", k.locate)
	return mux
}

func handle[In, Out any](mux *http.ServeMux, k *Keeper, op operation[In, Out]) {
	mux.HandleFunc("POST /ledger/{partition}/"+op.name, func(w http.ResponseWriter, r *http.Request) {
		partition, ok := k.partitionOf(w, r)
		if !ok {
			return
		}
		if !k.partitions[partition].Leads() {
			writeError(w, ErrNotLeader)
			return
		}
		in := new(In)
		if err := httpjson.ReadBody(r, in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := op.run(k.leader(partition), r.Context(), in)
		if err != nil {
			writeError(w, err)
			return
		}
		httpjson.WriteJSON(w, http.StatusOK, out)
	})
}

// partitionOf returns the partition in the path of a call, or responds with an
// error and returns false.
func (k *Keeper) partitionOf(w http.ResponseWriter, r *http.Request) (int, bool) {
	partition, err := strconv.Atoi(r.PathValue("partition"))
	if err != nil || partition < 0 || partition >= len(k.partitions) {
		http.Error(w, "no such partition", http.StatusNotFound)
		return 0, false
	}
	return partition, true
}

// locate responds with the last known leader of a partition.
func (k *Keeper) locate(w http.ResponseWriter, r *http.Request) {
	partition, ok := k.partitionOf(w, r)
	if !ok {
		return
	}
	in := new(LocateMessage)
	if err := httpjson.ReadBody(r, in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	httpjson.WriteJSON(w, http.StatusOK, k.location(partition, in.Missing))
}

func (k *Keeper) location(partition int, missing bool) *Location {
	p := k.partitions[partition]
	if p.Leads() {
		return &Location{Leads: true, Holder: k.opts.Host}
	}
	if missing {
		p.reportNoLeader()
	}
	return &Location{Holder: p.Holder()}
}

func writeError(w http.ResponseWriter, err error) {
	for _, s := range statuses {
		if errors.Is(err, s.cause) {
			http.Error(w, err.Error(), s.status)
			return
		}
	}
	http.Error(w, err.Error(), http.StatusInternalServerError)
}
