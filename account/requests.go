package account

// Reasons of requests that were not served in time.
const (
	waitedForSlot  = "late: waited for a slot"
	severalTries   = "late: sent to several endpoints"
	endpointSlow   = "late: the endpoint was slow"
	callerLeft     = "the caller left"
	answeredFailed = "the endpoint answered a failure"
)

// slotShare is the part of its time to the first event that a request must have waited
// for a slot for that to be why it is late.
const slotShare = 0.5

// reasonOf returns why an attempt was not served in time, or "" if it was.
func reasonOf(l *Line) string {
	switch {
	case l.Status == 0 && l.Reason == "client left":
		return callerLeft
	case l.Status >= 200 && l.Status < 300 && (l.ObjectiveMS == 0 || l.FirstMS <= l.ObjectiveMS):
		return ""
	case l.Status >= 200 && l.Status < 300:
		return lateReason(l)
	case l.Reason != "":
		return l.Reason
	default:
		return answeredFailed
	}
}

func lateReason(l *Line) string {
	switch {
	case len(l.Endpoints) > 1:
		return severalTries
	case float64(l.PlacedMS) >= slotShare*float64(l.FirstMS):
		return waitedForSlot
	default:
		return endpointSlow
	}
}
