package admission

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/peridotmount/peridotmount/httpjson"
)

// NewHandler returns the HTTP handler of the ticket exchange. d serves the requests
// to this host's homes, c receives the revocations of tickets held by this entry.
func NewHandler(d *Duty, c *Client) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathAcquire, d.serveAcquire)
	mux.HandleFunc("POST "+pathRenew, d.serveRenew)
	mux.HandleFunc("POST "+pathRelease, d.serveRelease)
	mux.HandleFunc("POST "+pathRevoke, c.serveRevoke)
	return mux
}

// serveAcquire responds once the request is decided. Until then it sends a line
// break every keepAliveInterval, so that the entry can distinguish a long wait in
// the queue from a home that does not respond. JSON allows whitespace before a value.
func (d *Duty) serveAcquire(w http.ResponseWriter, r *http.Request) {
	req := new(Request)
	if err := httpjson.ReadBody(r, req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := d.Acquire(req)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		select {
		case out := <-reply:
			if json.NewEncoder(w).Encode(out) != nil {
				d.Abandon(req.Endpoint, req.Ticket)
			}
			return
		case <-keepAlive.C:
			_, _ = w.Write([]byte("\n"))
			_ = http.NewResponseController(w).Flush()
		case <-r.Context().Done():
			d.Abandon(req.Endpoint, req.Ticket)
			return
		}
	}
}

// keepAliveInterval is the interval between the line breaks sent while a request is
// queued.
const keepAliveInterval = 100 * time.Millisecond

func (d *Duty) serveRenew(w http.ResponseWriter, r *http.Request) {
	var m RenewMessage
	if err := httpjson.ReadBody(r, &m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.Renew(m.Tickets)
	w.WriteHeader(http.StatusNoContent)
}

func (d *Duty) serveRelease(w http.ResponseWriter, r *http.Request) {
	var m ReleaseMessage
	if err := httpjson.ReadBody(r, &m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.Release(m.Releases)
	w.WriteHeader(http.StatusNoContent)
}

func (c *Client) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var m RevokeMessage
	if err := httpjson.ReadBody(r, &m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, id := range m.Tickets {
		c.revoke(id)
	}
	w.WriteHeader(http.StatusNoContent)
}
