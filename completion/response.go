package completion

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Answer is the message of a chat answer.
type Answer struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Choice is the one answer of a response.
type Choice struct {
	Index int `json:"index"`
	// Message is set in a whole chat answer, Delta in a streamed one.
	Message *Answer `json:"message,omitempty"`
	Delta   *Answer `json:"delta,omitempty"`
	// Text is set in a text answer.
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Response is the body of an answer, or one chunk of a streamed one.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Objects named in responses.
const (
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
	objectText      = "text_completion"
	roleAssistant   = "assistant"
)
