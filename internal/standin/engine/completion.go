package engine

import (
	"encoding/json"
	"net/http"
	"strings"
)

// completion is an OpenAI-compatible completion, or one chunk of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// bytesPerToken is the prompt length that usage counts as one token.
const bytesPerToken = 4

func writeCompletion(w http.ResponseWriter, seq *sequence, request Request) {
	text := strings.Join(seq.tokens, "")
	stop := "stop"
	prompt := (len(seq.prompt) + bytesPerToken - 1) / bytesPerToken
	body := completion{
		ID:     seq.id,
		Object: "text_completion",
		Model:  request.Model,
		Usage: &usage{
			PromptTokens:     prompt,
			CompletionTokens: len(seq.tokens),
			TotalTokens:      prompt + len(seq.tokens),
		},
	}
	body.Choices = []choice{{Text: text, FinishReason: &stop}}
	if seq.chat {
		body.Object = "chat.completion"
		message := &Message{Role: "assistant", Content: text}
		body.Choices = []choice{{Message: message, FinishReason: &stop}}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// tokenChunk returns the body of the server-sent event for one token.
func tokenChunk(seq *sequence, index int) ([]byte, error) {
	body := completion{ID: seq.id, Object: "text_completion"}
	tokenChoice := choice{Text: seq.tokens[index]}
	if seq.chat {
		body.Object = "chat.completion.chunk"
		tokenChoice = choice{Delta: &delta{Content: seq.tokens[index]}}
	}
	if index == len(seq.tokens)-1 {
		stop := "stop"
		tokenChoice.FinishReason = &stop
	}
	body.Choices = []choice{tokenChoice}
	return json.Marshal(body)
}
