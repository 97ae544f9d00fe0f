package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenaseam.example/verbenaseam/api/gen/engineapi"
)

// Headers of the completion endpoints.
const (
	// IncarnationHeader carries the engine's incarnation on every response.
	IncarnationHeader = "X-Engine-Incarnation"
	// RequestIDHeader carries the request's id, by which it is cancelled and
	// resumed.
	RequestIDHeader = "X-Request-Id"
	// PriorityHeader carries an integer; requests with a higher one run first.
	PriorityHeader = "X-Priority"
	// TimeoutHeader carries the remaining time in milliseconds.
	TimeoutHeader = "X-Timeout-Ms"
)

// maxBodyBytes bounds the body of a completion request.
const maxBodyBytes = 8 << 20

// maxAnswerTokens bounds the length of an answer.
const maxAnswerTokens = 1 << 16

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is the body of a completion request.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Text returns the prompt that the engine processes: the messages in order, each
// as "role: content" on a line of its own, then the plain prompt.
func (r Request) Text() string {
	var text strings.Builder
	for _, message := range r.Messages {
		text.WriteString(message.Role + ": " + message.Content + "\n")
	}
	text.WriteString(r.Prompt)
	return text.String()
}

// Tokens returns the length of the answer in tokens.
func (r Request) Tokens() int {
	if r.MaxTokens <= 0 {
		return DefaultTokens
	}
	return min(max(r.MaxTokens, 2), maxAnswerTokens)
}

// Handler returns a handler that serves completions, streams and the engine API.
func (e *Engine) Handler() http.Handler {
	control, err := engineapi.NewServer(&control{engine: e})
	if err != nil {
		panic(err) // NewServer fails only on invalid options, never on input
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion(true))
	mux.HandleFunc("POST /v1/completions", e.serveCompletion(false))
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.Handle("/", control)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		incarnation, available := e.availability()
		if !available {
			panic(http.ErrAbortHandler) // cuts the connection without a response, like a dead process
		}
		w.Header().Set(IncarnationHeader, incarnation)
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) availability() (incarnation string, available bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation, !e.stopped && !e.clock.Now().Before(e.unavailableUntil)
}

func (e *Engine) serveCompletion(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Request
		body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if err := json.NewDecoder(body).Decode(&request); err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		if !e.servesModel(request.Model) {
			writeError(w, http.StatusNotFound, ErrNotLoaded)
			return
		}
		seq := e.newSequence(request, r.Header)
		seq.chat = chat
		if err := e.submit(seq); err != nil {
			writeSubmitError(w, err)
			return
		}
		w.Header().Set(IncarnationHeader, seq.incarnation)
		if request.Stream {
			e.serveStream(w, r, seq, 0)
			return
		}
		e.serveUnary(w, r, seq, request)
	}
}

// servesModel reports whether the engine has a model or an adapter of that name
// loaded; an engine without a model name serves any.
func (e *Engine) servesModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model == "" || model == "" || model == e.model || model == e.adapter
}

func (e *Engine) newSequence(request Request, header http.Header) *sequence {
	text := request.Text()
	seq := &sequence{
		id:     header.Get(RequestIDHeader),
		prompt: text,
		tokens: Answer(text, request.Tokens()),
		blocks: PromptBlocks(text),
	}
	seq.priority, _ = strconv.Atoi(header.Get(PriorityHeader))
	if timeoutMs, err := strconv.Atoi(header.Get(TimeoutHeader)); err == nil && timeoutMs > 0 {
		seq.deadline = e.clock.Now().Add(time.Duration(timeoutMs) * time.Millisecond)
	}
	return seq
}

// serveUnary waits for the whole answer and sends it as a single JSON body.
func (e *Engine) serveUnary(w http.ResponseWriter, r *http.Request, seq *sequence, request Request) {
	defer e.detachClient(seq, false)
	for {
		progress := e.snapshot(seq)
		switch progress.state {
		case stateFinished:
			writeCompletion(w, seq, request)
			return
		case stateFailed:
			writeRunError(w, progress.err)
			return
		}
		select {
		case <-progress.changed:
		case <-r.Context().Done():
			return
		}
	}
}

// sequenceSnapshot is a consistent copy of the progress of a sequence.
type sequenceSnapshot struct {
	state    sequenceState
	produced int
	err      error
	changed  <-chan struct{}
}

func (e *Engine) snapshot(seq *sequence) sequenceSnapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return sequenceSnapshot{state: seq.state, produced: seq.produced, err: seq.err, changed: seq.changed}
}

// writeSubmitError answers a request that was not admitted.
func writeSubmitError(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrQueueFull) {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	panic(http.ErrAbortHandler) // the engine crashed or is unavailable
}

// writeRunError answers a request that failed after it was admitted.
func writeRunError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrDeadline):
		writeError(w, http.StatusGatewayTimeout, err)
	case errors.Is(err, ErrCancelled):
		writeError(w, http.StatusConflict, err)
	default:
		panic(http.ErrAbortHandler) // the engine crashed: cuts the connection
	}
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: errorDetail{Message: err.Error()}})
}
