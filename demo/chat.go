package demo

// chatRequest is the body of a chat completion.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
}

// chatMessage is one message of a chat.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (w *work) chat(message string, tokens int) chatRequest {
	return chatRequest{
		Model:     w.service,
		Messages:  []chatMessage{{Role: "user", Content: message}},
		MaxTokens: tokens,
	}
}
