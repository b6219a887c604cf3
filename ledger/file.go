package ledger

// FileChunk is one chunk of an uploaded file.
type FileChunk struct {
	File string `json:"file"`
	// Index is the position of the chunk in the file, counted from 0.
	Index int    `json:"index"`
	Data  []byte `json:"data"`
}

// FileCommit completes the upload of a file.
type FileCommit struct {
	File     string `json:"file"`
	Customer string `json:"customer"`
	Name     string `json:"name"`
	Purpose  string `json:"purpose"`
	Bytes    int64  `json:"bytes"`
	Chunks   int    `json:"chunks"`
	// CreatedUnix is in seconds since the Unix epoch.
	CreatedUnix int64 `json:"created"`
	// TTLSeconds is the retention period after the commit; 0 means no expiry.
	TTLSeconds int64 `json:"ttl_s,omitempty"`
}

// File is the replayed state of a file, complete or still being uploaded.
type File struct {
	FileCommit
	Committed bool `json:"committed"`
	// Places are the places of the chunks, by chunk index.
	Places []Place `json:"-"`
	// changedMillis is the time of the last chunk or of the commit, in
	// milliseconds since the Unix epoch.
	changedMillis int64
}
