// Package prompt extracts from a request body what routing needs: the model,
// whether the answer is streamed, the hashes of the prompt's prefixes, the estimated
// work, and a fingerprint.
package prompt

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"verbenaseam.example/verbenaseam/process/failure"
)

// BlockBytes is the size of the blocks in which prompt prefixes are hashed.
const BlockBytes = 256

// maxBlocks is the maximum number of prefix hashes of one prompt.
const maxBlocks = 64

// Prompt is the part of a completion request that routing uses.
type Prompt struct {
	Model  string
	Stream bool
	// PrefixHashes holds the hash of each prefix that consists of whole blocks, shortest
	// first.
	PrefixHashes []uint64
	// Cost is the estimated work in tokens, for the prompt and the answer.
	Cost float64
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type body struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	Messages  []message       `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
}

const (
	// bytesPerToken is the assumed length of a prompt token.
	bytesPerToken = 4
	// defaultAnswerTokens is the assumed length of an answer if the request does not
	// limit it.
	defaultAnswerTokens = 128
)

// Parse parses a chat or text completion request. It fails with a *failure.Error
// of kind BadRequest and outcome NotRun when content is not one.
func Parse(content []byte) (Prompt, error) {
	var parsed body
	if err := json.Unmarshal(content, &parsed); err != nil {
		return Prompt{}, failure.New(failure.BadRequest, failure.NotRun, "the body is not valid JSON").WithCause(err)
	}
	if parsed.Model == "" {
		return Prompt{}, failure.New(failure.BadRequest, failure.NotRun, "the body names no model")
	}
	if len(parsed.Messages) == 0 && len(parsed.Prompt) == 0 {
		return Prompt{}, failure.New(failure.BadRequest, failure.NotRun, "the body has neither messages nor a prompt")
	}
	text := promptText(parsed)
	answerTokens := parsed.MaxTokens
	if answerTokens <= 0 {
		answerTokens = defaultAnswerTokens
	}
	return Prompt{
		Model:        parsed.Model,
		Stream:       parsed.Stream,
		PrefixHashes: prefixHashes(text),
		Cost:         float64(len(text)/bytesPerToken + answerTokens),
	}, nil
}

// promptText returns the text that is hashed and whose length is estimated in
// tokens: the roles and contents of all messages, then the plain prompt.
func promptText(parsed body) []byte {
	var text bytes.Buffer
	for _, m := range parsed.Messages {
		text.WriteString(m.Role)
		text.WriteByte('\n')
		text.Write(m.Content)
		text.WriteByte('\n')
	}
	text.Write(parsed.Prompt)
	return text.Bytes()
}

// prefixHashes returns the hash of each prefix of whole blocks, up to maxBlocks.
func prefixHashes(text []byte) []uint64 {
	blocks := min(len(text)/BlockBytes, maxBlocks)
	hashes := make([]uint64, 0, blocks)
	digest := xxhash.New()
	for i := range blocks {
		_, _ = digest.Write(text[i*BlockBytes : (i+1)*BlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// Fingerprint returns a hash that is equal for requests with the same effect on an
// engine, which are those with the same organisation, path and body.
func Fingerprint(organisation, path string, content []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{organisation, "\x00", path, "\x00"} {
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(content)
	return digest.Sum64()
}
