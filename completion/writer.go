package completion

import "strings"

// Writer makes the answers of one request.
type Writer struct {
	// ID names the request.
	ID string
	// Created is in seconds since the Unix epoch.
	Created int64
	Request *Request
	// Prompt is the number of the prompt's tokens; 0 counts them anew.
	Prompt int
}

// Whole returns the body of a whole answer.
func (w *Writer) Whole(tokens []string, finish string) Response {
	text := strings.Join(tokens, "")
	c := Choice{FinishReason: &finish}
	object := objectText
	if w.Request.Kind == Chat {
		object = objectChat
		c.Message = &Answer{Role: roleAssistant, Content: text}
	} else {
		c.Text = &text
	}
	r := w.response(object, c)
	r.Usage = w.usage(len(tokens))
	return r
}

// Token returns the chunk that carries one token.
func (w *Writer) Token(offset int, token string) Response {
	if w.Request.Kind == Text {
		return w.response(objectText, Choice{Text: &token})
	}
	delta := &Answer{Content: token}
	if offset == 0 {
		delta.Role = roleAssistant
	}
	return w.response(objectChatChunk, Choice{Delta: delta})
}

// End returns the chunk that ends a streamed answer of n tokens.
func (w *Writer) End(n int, finish string) Response {
	empty := ""
	c := Choice{FinishReason: &finish}
	object := objectText
	if w.Request.Kind == Chat {
		object = objectChatChunk
		c.Delta = &Answer{}
	} else {
		c.Text = &empty
	}
	r := w.response(object, c)
	if w.Request.StreamOptions != nil && w.Request.StreamOptions.IncludeUsage {
		r.Usage = w.usage(n)
	}
	return r
}

func (w *Writer) response(object string, c Choice) Response {
	return Response{
		ID:      w.ID,
		Object:  object,
		Created: w.Created,
		Model:   w.Request.Model,
		Choices: []Choice{c},
	}
}

func (w *Writer) usage(completion int) *Usage {
	prompt := w.Prompt
	if prompt == 0 {
		prompt = PromptTokens(w.Request.FullPrompt())
	}
	return &Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

// PromptTokens estimates the tokens of a prompt by its words.
func PromptTokens(prompt string) int {
	return len(strings.Fields(prompt))
}
