package demo

import "github.com/peridotmount/peridotmount/completion"

// batchLine is one line of a batch's input file.
type batchLine struct {
	CustomID string      `json:"custom_id"`
	Method   string      `json:"method"`
	URL      string      `json:"url"`
	Body     chatRequest `json:"body"`
}

// batchOutput is one line of a batch's output file.
type batchOutput struct {
	CustomID string `json:"custom_id"`
	Response struct {
		Body completion.Response `json:"body"`
	} `json:"response"`
}

// batchRequest creates a batch.
type batchRequest struct {
	InputFileID string            `json:"input_file_id"`
	Endpoint    string            `json:"endpoint"`
	Window      string            `json:"completion_window"`
	Metadata    map[string]string `json:"metadata"`
}

// batchState is what the demonstration reads of a batch.
type batchState struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	OutputFileID string `json:"output_file_id"`
	Counts       struct {
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// fileState is what the demonstration reads of a file.
type fileState struct {
	ID string `json:"id"`
}
