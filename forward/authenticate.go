package forward

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
)

const (
	// revocationRetry is the Retry-After of a host whose configuration is too old to accept
	// keys. Other hosts may have a newer one.
	revocationRetry = 500 * time.Millisecond
	// keyUnknown is the fault of a key that no workspace has.
	keyUnknown platform.KeyFault = "unknown"
	// noValidKey is the reason of a response with status 401. It does not tell a client why.
	noValidKey = "no valid key"
)

// credential is the key of one request. It is looked up once for each client attempt.
type credential struct {
	// hash is that of the key. fault is why there is none that a workspace has, read when the
	// head of the request was read, by package clock.
	hash  route.KeyHash
	fault platform.KeyFault
	read  time.Time
	// workspace is the workspace that has the key, by the configuration of version.
	workspace *route.Workspace
	version   int64
}

// identify finds the workspace whose key a request carries, and reports whether the request
// may be served: it has a key, within the bound of revocation. If not, it returns a rejection if
// that can't be told, and nil with a fault in the credential if no workspace has the key.
func (f *Forwarder) identify(ctx context.Context, req *request) (*credential, *Rejection) {
	c := &credential{read: req.read}
	if c.hash, c.fault = platform.RequestKey(req.http.Header); c.fault != platform.KeySound {
		c.version = f.opts.Configuration.Current().Version
		return c, nil
	}
	if rejection := f.awaitSoundAge(ctx, c.read); rejection != nil {
		return c, rejection
	}
	if f.lookUp(c) {
		return c, nil
	}
	// The key may have been added since the configuration was last read.
	if err := f.confirmer.confirm(ctx, c.read); err != nil {
		return c, &Rejection{
			Reason: "the key is not known, and the configuration may be old", RetryAfter: startupRetry,
			Inputs: fmt.Sprintf("configuration %d: %v", c.version, err),
		}
	}
	if !f.lookUp(c) {
		c.fault = keyUnknown
	}
	return c, nil
}

// lookUp looks the key up in the configuration in force, and reports whether requests need none
// or a workspace has it.
func (f *Forwarder) lookUp(c *credential) bool {
	config := f.opts.Configuration.Current()
	c.version = config.Version
	c.workspace = config.WorkspaceByKey(c.hash)
	return c.workspace != nil || !config.HasWorkspaces()
}

// awaitSoundAge returns nil once the configuration is recent enough to admit a request by its key,
// and a rejection if it does not get so. The configuration has to be looked at afterwards.
func (f *Forwarder) awaitSoundAge(ctx context.Context, read time.Time) *Rejection {
	age := keyAge{read: read, bound: f.opts.Revocation}
	if age.bound <= 0 {
		return nil
	}
	age.confirmed, age.reachable = f.opts.Configuration.Confirmed()
	verdict, confirmErr := age.verdict(), error(nil)
	switch verdict {
	case ageSound:
		return nil
	case ageConfirm:
		// A confirmation may rest on a long poll that was sent before it; half of the bound
		// leaves room for that.
		if confirmErr = f.confirmer.confirm(ctx, read.Add(-age.bound/2)); confirmErr == nil {
			if age.confirmed, age.reachable = f.opts.Configuration.Confirmed(); age.verdict() == ageSound {
				return nil
			}
		}
	case ageRefuse:
		// Finds out soon when the store is back.
		f.confirmer.share(read)
	}
	inputs := "no read has confirmed the configuration"
	if !age.confirmed.IsZero() {
		inputs = fmt.Sprintf("the last confirming read was sent %s before the request was read", read.Sub(age.confirmed).Round(time.Millisecond))
	}
	if confirmErr != nil {
		inputs += ": " + confirmErr.Error()
	}
	return &Rejection{
		Reason: "the configuration is too old to accept keys", RetryAfter: revocationRetry,
		Inputs: fmt.Sprintf("%s, the bound is %s", inputs, age.bound),
	}
}

// authenticate sets the caller of a request on a route and reports true, or ends the request,
// before its body is read, and reports false.
func (f *Forwarder) authenticate(ctx context.Context, w http.ResponseWriter, req *request) bool {
	config := f.opts.Configuration.Current()
	req.caller.Checked = config.HasWorkspaces()
	if !req.caller.Checked || req.route.Public {
		return true
	}
	c, rejection := f.identify(ctx, req)
	if c.fault == keyUnknown && f.madePublic(req) {
		return true
	}
	return f.admit(w, req, c, rejection)
}

// madePublic reports whether the route of a request is public by the configuration in force, which
// a confirming read may have replaced since the request was matched.
func (f *Forwarder) madePublic(req *request) bool {
	config := f.opts.Configuration.Current()
	r := config.Match(req.http.Host, req.http.URL.Path)
	if r == nil || !r.Public {
		return false
	}
	req.route, req.configVersion, req.service = r, config.Version, r.Pick(hashID(req.ID))
	return true
}

// authenticateJobCall is authenticate for a call on the batch job with an id. Jobs of public
// routes need no key; the handler of jobs tells whether the workspace owns the job.
func (f *Forwarder) authenticateJobCall(ctx context.Context, w http.ResponseWriter, req *request, job string) bool {
	req.caller.Checked = f.opts.Configuration.Current().HasWorkspaces()
	if !req.caller.Checked {
		return true
	}
	c, rejection := f.identify(ctx, req)
	if rejection != nil || c.fault != platform.KeySound {
		public, err := f.opts.IsPublicJob(ctx, job)
		if public {
			return true
		}
		if err != nil && rejection == nil {
			rejection = &Rejection{Reason: "the ledger can't be read", RetryAfter: startupRetry, Inputs: err.Error()}
		}
	}
	return f.admit(w, req, c, rejection)
}

// admit sets the caller of a request and reports true, or ends the request and reports false.
func (f *Forwarder) admit(w http.ResponseWriter, req *request, c *credential, rejection *Rejection) bool {
	req.configVersion = c.version
	switch {
	case rejection != nil:
		f.endUnread(w, req, func() { f.reject(w, req, rejection) })
		return false
	case c.fault != platform.KeySound:
		req.inputs = "the key is " + string(c.fault)
		f.metrics.unauthorized.WithLabelValues(string(c.fault)).Inc()
		f.endUnread(w, req, func() { f.respond(w, req, http.StatusUnauthorized, noValidKey) })
		return false
	case c.workspace == nil:
		// The configuration has no workspaces any more.
		req.caller = route.Caller{}
		return true
	default:
		req.workspace, req.caller.Workspace = c.workspace, c.workspace.Name
		return true
	}
}
