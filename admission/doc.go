// Package admission controls which requests run at an endpoint. Each endpoint is
// assigned to one host of the system, its home, which grants tickets for the
// endpoint's slots: to urgent requests before online ones and to online requests
// before batch, by weighted fair queueing among the customers of a class. The
// home revokes the tickets of batch streams when other requests need their slots.
//
// Home is the decision logic, a state machine without I/O. Duty runs the homes of
// a host. Client requests tickets from homes on behalf of an entry, the host that
// serves the caller's request.
package admission
