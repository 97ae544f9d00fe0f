package stream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenaseam.example/verbenaseam/internal/rapidseed"
	"verbenaseam.example/verbenaseam/process/failure"
)

func TestMain(m *testing.M) { rapidseed.Main(m, "1") }

// flakyEngine sends a token stream in parts that end at arbitrary points.
type flakyEngine struct {
	t           *rapid.T
	tokens      int
	incarnation string
	// overlap and gap make a resumed part start too early or too late.
	overlap, gap bool
	// mayRestart lets the engine change its incarnation before a resumed part.
	mayRestart bool
	resumes    int
}

func (e *flakyEngine) part(from int) Part {
	var content strings.Builder
	for i := from; i < e.tokens; i++ {
		_, _ = fmt.Fprintf(&content, "id: %d\r\ndata: {\"token\":%d}\ndata: more\n\n", i, i)
	}
	content.WriteString(": a comment\n\ndata: [DONE]\n\n")
	cut := rapid.IntRange(0, content.Len()).Draw(e.t, "cut")
	return Part{Body: io.NopCloser(strings.NewReader(content.String()[:cut])), Incarnation: e.incarnation}
}

func (e *flakyEngine) Resume(_ context.Context, from int, incarnation string) (Part, error) {
	e.resumes++
	if rapid.IntRange(0, 4).Draw(e.t, "refuse") == 0 {
		return Part{}, ErrMissingEndEvent
	}
	if e.mayRestart && rapid.IntRange(0, 3).Draw(e.t, "restart") == 0 {
		e.incarnation += "'"
	}
	if e.incarnation != incarnation {
		return e.part(0), nil
	}
	if e.overlap {
		from = max(0, from-rapid.IntRange(0, 3).Draw(e.t, "overlap"))
	}
	if e.gap {
		from += rapid.IntRange(0, 3).Draw(e.t, "gap")
	}
	return e.part(from), nil
}

// TestRelayForwardsEachTokenOnce interrupts a stream any number of times at
// arbitrary points. The caller must receive each token once and in order, and a
// clean end only after all tokens.
func TestRelayForwardsEachTokenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := &flakyEngine{
			t: t, tokens: rapid.IntRange(0, 12).Draw(t, "tokens"), incarnation: "one",
			overlap:    rapid.Bool().Draw(t, "overlaps"),
			gap:        rapid.Bool().Draw(t, "gaps"),
			mayRestart: rapid.IntRange(0, 4).Draw(t, "restarts") == 0,
		}
		relay := Relay{Source: engine, MaxResumes: rapid.IntRange(0, 8).Draw(t, "resumes")}
		tokens, done := 0, false
		err := relay.Run(context.Background(), engine.part(0), func(event *Event) error {
			require.False(t, done, "event after the end")
			done = event.Done()
			if index, ok := event.TokenIndex(); ok {
				require.Equal(t, tokens, index)
				require.Contains(t, string(event.Raw), fmt.Sprintf("\"token\":%d}", index))
				tokens++
			}
			return nil
		})
		require.Equal(t, done, err == nil)
		require.LessOrEqual(t, engine.resumes, relay.MaxResumes)
		if err == nil {
			require.Equal(t, engine.tokens, tokens)
			return
		}
		require.Equal(t, failure.IncompleteAnswer, failure.From(err).Kind)
		require.Equal(t, failure.Unknown, failure.From(err).Outcome)
	})
}

func TestRelayFailureTypes(t *testing.T) {
	const token = "id: 0\ndata: a\n\n"
	cases := []struct {
		desc   string
		body   string
		target error
		kind   failure.Kind
	}{
		{"no end event", token, ErrMissingEndEvent, failure.IncompleteAnswer},
		{"empty body", "", ErrMissingEndEvent, failure.IncompleteAnswer},
		{"truncated event", token + "id: 1\ndata: b\n", ErrTruncatedEvent, failure.IncompleteAnswer},
		{"truncated end event", token + "data: [DONE]", ErrTruncatedEvent, failure.IncompleteAnswer},
		{"error event", token + "event: error\ndata: {}\n\ndata: [DONE]\n\n", ErrEngineFailure, failure.EngineFailed},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			part := Part{Body: io.NopCloser(strings.NewReader(c.body)), Incarnation: "one"}
			err := Relay{}.Run(t.Context(), part, func(*Event) error { return nil })
			require.ErrorIs(t, err, c.target)
			require.Equal(t, c.kind, failure.From(err).Kind)
		})
	}
}

func TestRelayRejectsOtherIncarnation(t *testing.T) {
	part := func(incarnation string) Part {
		return Part{Body: io.NopCloser(strings.NewReader("id: 0\ndata: a\n\n")), Incarnation: incarnation}
	}
	relay := Relay{MaxResumes: 3, Source: sourceFunc(func() (Part, error) { return part("two"), nil })}
	err := relay.Run(t.Context(), part("one"), func(*Event) error { return nil })
	var other *IncarnationError
	require.ErrorAs(t, err, &other)
}

type sourceFunc func() (Part, error)

func (f sourceFunc) Resume(context.Context, int, string) (Part, error) { return f() }

func TestEventSizeLimit(t *testing.T) {
	const limit = 10000
	endless := &zeroReader{}
	_, err := NewEventReader(endless, limit).Next()
	var large *EventTooLargeError
	require.ErrorAs(t, err, &large)
	require.LessOrEqual(t, endless.read, limit+2*eventBufferBytes)
}

// zeroReader returns zero bytes without end.
type zeroReader struct{ read int }

func (z *zeroReader) Read(p []byte) (int, error) {
	clear(p)
	z.read += len(p)
	return len(p), nil
}

// FuzzEvents checks that the raw events are exactly a prefix of the input.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\ndata: b\n\n: c\r\n\r\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := NewEventReader(bytes.NewReader(input), 1000)
		var raw []byte
		for {
			event, err := reader.Next()
			if err != nil {
				break
			}
			raw = append(raw, event.Raw...)
		}
		require.True(t, bytes.HasPrefix(input, raw))
	})
}
