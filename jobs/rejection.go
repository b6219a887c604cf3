package jobs

import "strings"

// rejectionKeyPrefix begins the keys of rejections. It sorts behind those of all other records: the
// pages of a listing are read one after the other, so that a listing that lacks a deleted submission
// has its rejection.
const rejectionKeyPrefix = "verdict/"

// RejectionKey returns the key of the rejection of an attempt whose name ends with the name of its
// writer and a number.
func RejectionKey(attempt string) string {
	return rejectionKeyPrefix + attempt[strings.LastIndex(attempt, "/")+1:]
}

// IsRejectionKey reports whether a key is that of a rejection.
func IsRejectionKey(key string) bool {
	return strings.HasPrefix(key, rejectionKeyPrefix)
}

// Rejection records that an attempt to submit a job was rejected. It outlives the attempt's
// submission, so that a host that lists the ledger rejects a late copy of it as well.
type Rejection struct {
	Attempt string `json:"attempt"`
	// SubmittedMillis is that of the submission, in Unix milliseconds.
	SubmittedMillis int64 `json:"submitted_ms"`
}

// rejection is what the state knows of a rejected attempt.
type rejection struct {
	job             string
	submittedMillis int64
	// recordKey is the key of the attempt's Rejection in the ledger, or "" if it has none.
	recordKey string
	// submissionKeys are the keys of the attempt's submission and its copies in the ledger,
	// payloadKeys those of their inputs.
	submissionKeys, payloadKeys []string
}

// settled reports whether the ledger keeps the rejection and holds nothing else of the attempt.
func (r *rejection) settled() bool {
	return r.recordKey != "" && len(r.submissionKeys) == 0
}
