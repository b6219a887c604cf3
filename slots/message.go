package slots

import (
	"time"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/origin"
	"github.com/peridotmount/peridotmount/quota"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/throttle"
)

// HostMessage is a message of a host to its scheduler, one line of JSON. At most one
// field is set beside Stamp; a message with none is a heartbeat.
type HostMessage struct {
	Hello    *scheduler.Hello       `json:"hello,omitempty"`
	Acquire  *scheduler.SlotRequest `json:"ask,omitempty"`
	Usage    *scheduler.Usage       `json:"use,omitempty"`
	Withdraw string                 `json:"withdraw,omitempty"`
	// Permit asks for a request that needs no slot to be admitted within its workspace's quota.
	// PermitReturn is the id of a permit that is not used, or no longer waited for.
	Permit       *scheduler.PermitRequest `json:"permit,omitempty"`
	PermitReturn string                   `json:"permit_return,omitempty"`
	Leaving      bool                     `json:"leaving,omitempty"`
	// Stranded tells whether the host reaches no endpoint itself.
	Stranded *Stranded `json:"stranded,omitempty"`
	// Stalled is the ticket of a use whose endpoint sends nothing.
	Stalled string `json:"stalled,omitempty"`
	// Crash reports a request that was in progress at an endpoint that crashed, Answers
	// what endpoints answered, for keys under suspicion.
	Crash   *blame.Crash   `json:"crash,omitempty"`
	Answers []blame.Answer `json:"answers,omitempty"`
	// Convictions are those that the host knows.
	Convictions []blame.Conviction `json:"convictions,omitempty"`
	// EndpointsLeaving are endpoints that announced in a response that they are leaving.
	EndpointsLeaving []endpoint.Incarnation `json:"endpoints_leaving,omitempty"`
	// Limits are rate limits that endpoints named in answers to the host.
	Limits []throttle.Notice `json:"limits,omitempty"`
	// Streams are streams whose first events the host received, or that it was told of.
	Streams origin.Streams `json:"streams,omitempty"`
	// StreamsAge is the time since the first event of the oldest of Streams, or since it was last taken up.
	StreamsAge time.Duration `json:"streams_age,omitempty"`
	// Offers are the items of a job that the host has accepted.
	Offers []scheduler.Offer `json:"offers,omitempty"`
	// Stamp is the time from the start of the session until the message was made; zero if it tells no
	// ages, and from older builds.
	Stamp time.Duration `json:"stamp,omitempty"`
}

// SchedulerMessage is a message of the scheduler to a host, one line of JSON. At most
// one field is set beside Stamp; a message with none is a heartbeat.
type SchedulerMessage struct {
	Grant     *scheduler.Grant  `json:"grant,omitempty"`
	Refuse    *scheduler.Refuse `json:"refuse,omitempty"`
	Revoke    *scheduler.Revoke `json:"revoke,omitempty"`
	Start     *scheduler.Start  `json:"start,omitempty"`
	Broadcast *Broadcast        `json:"news,omitempty"`
	Permit    *scheduler.Permit `json:"permit,omitempty"`
	// Admitted is what the scheduler admitted within the quotas of workspaces, for hosts that may
	// schedule next.
	Admitted *quota.Report `json:"admitted,omitempty"`
	// Limits are rate limits of endpoints: all that are known at the start of a session,
	// then those that change.
	Limits []throttle.Notice `json:"limits,omitempty"`
	// Streams are streams that began, for hosts that may schedule next.
	Streams origin.Streams `json:"streams,omitempty"`
	// StreamsAge is the time since the first event of the oldest of Streams, or since it was last taken up.
	StreamsAge time.Duration `json:"streams_age,omitempty"`
	// FirstEvents tells that a host received the first event of each of Streams. Older builds
	// don't say so: theirs may be grants that were not used.
	FirstEvents bool `json:"first_events,omitempty"`
	// Departing is the name of the scheduler if its host shuts down. A remoteLink delivers it as the
	// incarnationKey of the host that it was opened with.
	Departing string `json:"departing,omitempty"`
	// Stamp is that of HostMessage.
	Stamp time.Duration `json:"stamp,omitempty"`
}

// Broadcast is the state that a scheduler sends to all its hosts periodically.
type Broadcast struct {
	// Alive are the hosts that have a session with the scheduler but no recent record
	// in the store.
	Alive []string `json:"alive,omitempty"`
	// Convictions are those of requests that crash endpoints and must not be sent to any.
	Convictions []blame.Conviction `json:"convictions,omitempty"`
	// Suspects are the keys that the host is to report answers to.
	Suspects []blame.Key `json:"suspects,omitempty"`
	// EndpointsLeaving are all known endpoints that announced in a response that they are
	// leaving.
	EndpointsLeaving []endpoint.Incarnation `json:"endpoints_leaving,omitempty"`
	// Quotas announces that the scheduler keeps the quotas of workspaces. Older builds don't.
	Quotas bool `json:"quotas,omitempty"`
}

// newSchedulerMessage returns the message that carries an effect.
func newSchedulerMessage(e scheduler.Effect) SchedulerMessage {
	switch e := e.(type) {
	case scheduler.Grant:
		return SchedulerMessage{Grant: &e}
	case scheduler.Refuse:
		return SchedulerMessage{Refuse: &e}
	case scheduler.Revoke:
		return SchedulerMessage{Revoke: &e}
	case scheduler.Start:
		return SchedulerMessage{Start: &e}
	case scheduler.Permit:
		return SchedulerMessage{Permit: &e}
	default:
		return SchedulerMessage{}
	}
}
