package entry

import "time"

const (
	defaultRetryAfter    = 2 * time.Second
	minRetryAfterSeconds = 1
	maxCustomIDBytes     = 512
	maxRequestBytes      = 4 << 20
	maxFileBytes         = 512 << 20
	maxLineBytes         = 1 << 20
	maxFileLines         = 400_000
	fileChunkBytes       = 1 << 20
	nonceBytes           = 12
	maxKeyBytes          = 255
	// maxConcurrent bounds the requests in progress on a host.
	maxConcurrent = 8192
	// bodyTimeout bounds the time in which a body has to arrive; uploads have
	// uploadTimeout.
	bodyTimeout   = 30 * time.Second
	uploadTimeout = 15 * time.Minute
)

// Bounds of keyed requests.
const (
	// maxKeyedRuns bounds those in progress or not recorded yet on a host.
	maxKeyedRuns = 4096
	// maxRecordedBytes bounds one recorded answer.
	maxRecordedBytes = 512 << 10
	// maxPlainBytes bounds the answer of a keyed call of a plain service.
	maxPlainBytes = 8 << 20
	// sharedAnswerBytes bounds what such answers that are being read hold at a time, beyond the
	// first block of each.
	sharedAnswerBytes = 16 << 20
	answerBlockBytes  = 64 << 10
	// maxRunTime bounds a run that goes on without its caller.
	maxRunTime = 15 * time.Minute
	// lookUpTimeout bounds the search for a recorded answer.
	lookUpTimeout = time.Second
	// startTimeout bounds the wait for a start record.
	startTimeout = 2 * time.Second
	// recordTimeout bounds one try to record an end.
	recordTimeout = 2 * time.Second
	// recordPause is the time between two tries to record an end.
	recordPause = 250 * time.Millisecond
	// outagePause is how long calls are refused after a partition failed to
	// answer, before one tries again.
	outagePause     = time.Second
	recorderWorkers = 32
	drainPoll       = 20 * time.Millisecond
)

const (
	typeInvalidRequest  = "invalid_request_error"
	typeServer          = "server_error"
	typeAuthentication  = "authentication_error"
	typeRateLimit       = "rate_limit_error"
	headerContentType   = "Content-Type"
	headerAuthorization = "Authorization"
	bearerPrefix        = "Bearer "
	sseDone             = "[DONE]"
	objectList          = "list"
	purposeBatch        = "batch"
)
