package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// requestUnary sends a chat completion request and returns the answer's text.
func requestUnary(client *http.Client, url, prompt string) (string, error) {
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":4}`, prompt)
	response, err := client.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	var answer completion
	if err := json.Unmarshal(content, &answer); err != nil || answer.Choices == nil {
		return string(content), err
	}
	return answer.Choices[0].Message.Content, nil
}

// TestInstantEngineAnswersMatchPrompts checks that concurrent requests each get
// the answer to their own prompt, and that requests which complete at once do not
// overload a cold engine.
func TestInstantEngineAnswersMatchPrompts(t *testing.T) {
	engine := New(Config{Instant: true, MaxColdInFlight: 1})
	defer engine.Close()
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	var wait sync.WaitGroup
	for i := range 50 {
		wait.Go(func() {
			prompt := fmt.Sprintf("question %d", i)
			text, err := requestUnary(server.Client(), server.URL, prompt)
			if err != nil || !CheckAnswer("user: "+prompt+"\n", 4, text) {
				t.Errorf("prompt %q got %q, %v", prompt, text, err)
			}
		})
	}
	wait.Wait()
	require.EqualValues(t, 50, engine.Counters().Completed)
	require.Zero(t, engine.Counters().OverloadCrashes)
	require.Zero(t, engine.InFlight())
}

// BenchmarkInstantUnary measures the rate of small unary requests sent directly
// to the engine.
func BenchmarkInstantUnary(b *testing.B) {
	engine := New(Config{Instant: true})
	defer engine.Close()
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := requestUnary(client, server.URL, "hello"); err != nil {
				b.Fatal(err)
			}
		}
	})
}
