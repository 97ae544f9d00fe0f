package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	enginestandin "verbenaseam.example/verbenaseam/internal/standin/engine"
	"verbenaseam.example/verbenaseam/request/gateway"
)

// client is one caller. It sends its requests to the entries listed by /v1/entries.
type client struct {
	http    *http.Client
	key     string
	entries []string
	next    int
}

// reply is the response to one request, with its timing.
type reply struct {
	status  int
	outcome string
	body    []byte
	took    time.Duration
	// firstByte is the time to the first byte of the body.
	firstByte time.Duration
}

// incompleteAnswerError means that no complete answer arrived.
type incompleteAnswerError struct {
	Cause error
}

// Error implements error.
func (e *incompleteAnswerError) Error() string { return "answer incomplete: " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *incompleteAnswerError) Unwrap() error { return e.Cause }

func newClient(key string, first string) *client {
	return &client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}, key: key, entries: []string{first}}
}

// discoverEntries reads the list of entries from /v1/entries.
func (c *client) discoverEntries(ctx context.Context) error {
	got, err := c.send(ctx, http.MethodGet, "/v1/entries", nil, "")
	if err != nil {
		return err
	}
	var answer struct {
		Entries []string `json:"entries"`
	}
	if err := json.Unmarshal(got.body, &answer); err != nil {
		return &incompleteAnswerError{Cause: err}
	}
	if len(answer.Entries) > 0 {
		c.entries = answer.Entries
	}
	return nil
}

// send sends a request to the next of the caller's entries, in turn.
func (c *client) send(ctx context.Context, method, path string, body []byte, idempotencyKey string) (reply, error) {
	c.next++
	url := c.entries[c.next%len(c.entries)] + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(gateway.HeaderRequestID, uuid.NewString())
	if idempotencyKey != "" {
		request.Header.Set(gateway.HeaderIdempotencyKey, idempotencyKey)
	}
	started := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, &incompleteAnswerError{Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	_, _ = reader.Peek(1)
	got := reply{status: response.StatusCode, outcome: response.Header.Get(gateway.HeaderOutcome), firstByte: time.Since(started)}
	got.body, err = io.ReadAll(reader)
	got.took = time.Since(started)
	if err != nil {
		return got, &incompleteAnswerError{Cause: err}
	}
	return got, nil
}

// wrongAnswerError means that an answer is cut short or belongs to another request.
type wrongAnswerError struct {
	Got string
}

// Error implements error.
func (e *wrongAnswerError) Error() string { return "answer does not match the request: " + e.Got }

// chat streams a completion and checks that the answer is complete and belongs to the
// request.
func (c *client) chat(ctx context.Context, model, prompt string, tokens int) (reply, error) {
	body, err := json.Marshal(enginestandin.Request{
		Model: model, Stream: true, MaxTokens: tokens,
		Messages: []enginestandin.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return reply{}, err
	}
	got, err := c.send(ctx, http.MethodPost, gateway.PathChat, body, "")
	if err != nil || got.status != http.StatusOK {
		return got, err
	}
	text, complete := eventText(got.body)
	if !complete || !enginestandin.CheckAnswer(fmt.Sprintf("user: %s\n", prompt), tokens, text) {
		return got, &wrongAnswerError{Got: text}
	}
	return got, nil
}

// eventText joins the tokens of a stream and reports whether it ended with [DONE].
func eventText(body []byte) (string, bool) {
	var text strings.Builder
	for line := range strings.Lines(string(body)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			text.WriteString(event.Choices[0].Delta.Content)
		}
	}
	return text.String(), false
}
