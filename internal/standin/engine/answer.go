package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Answer returns the tokens of the answer to a prompt, at least two: the first
// holds the prompt's hash, the last the number of tokens.
func Answer(prompt string, tokenCount int) []string {
	tokenCount = max(tokenCount, 2)
	hash := fmt.Sprintf("%016x", xxhash.Sum64String(prompt))
	tokens := make([]string, 0, tokenCount)
	tokens = append(tokens, "hash="+hash)
	for i := 1; i < tokenCount-1; i++ {
		tokens = append(tokens, fmt.Sprintf(" %s-%d", hash[:4], i))
	}
	return append(tokens, fmt.Sprintf(" tokens=%d", tokenCount))
}

// CheckAnswer reports whether text is the complete answer to the prompt.
func CheckAnswer(prompt string, tokenCount int, text string) bool {
	return text == strings.Join(Answer(prompt, tokenCount), "")
}
