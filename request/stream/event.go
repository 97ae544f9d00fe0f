package stream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// DefaultMaxEventBytes bounds the size of one server-sent event.
const DefaultMaxEventBytes = 1 << 20

// doneData is the data of the event that ends a complete response.
const doneData = "[DONE]"

// errorEvent is the name of the event that ends a failed response.
const errorEvent = "error"

// ErrTruncatedEvent is returned if a stream ends in the middle of an event.
var ErrTruncatedEvent = eris.New("event stream ended in the middle of an event")

// EventTooLargeError is returned for an event that exceeds the size limit.
type EventTooLargeError struct {
	// Limit is the maximum event size in bytes.
	Limit int
}

// Error implements error.
func (e *EventTooLargeError) Error() string {
	return fmt.Sprintf("server-sent event exceeds the limit of %d bytes", e.Limit)
}

// Event is one server-sent event.
type Event struct {
	// ID and Name are the values of the id and event fields, empty if absent.
	ID, Name string
	// Data holds the values of the data fields, joined by line feeds.
	Data []byte
	// Raw is the event as received, including the blank line that ends it. It
	// is valid until the next call of EventReader.Next.
	Raw []byte
}

// Done reports whether the event ends a complete response.
func (e *Event) Done() bool { return string(e.Data) == doneData }

// Failed reports whether the event ends a failed response.
func (e *Event) Failed() bool { return e.Name == errorEvent }

// TokenIndex returns the index of the token that the event carries, taken from its
// id.
func (e *Event) TokenIndex() (int, bool) {
	index, err := strconv.Atoi(e.ID)
	return index, err == nil && index >= 0
}

// EventReader reads complete server-sent events.
type EventReader struct {
	buffered *bufio.Reader
	limit    int
	raw      bytes.Buffer
}

// eventBufferBytes is the size of an EventReader's read buffer.
const eventBufferBytes = 2 << 10

// NewEventReader returns a reader of events of at most limit bytes each from r.
func NewEventReader(r io.Reader, limit int) *EventReader {
	return &EventReader{buffered: bufio.NewReaderSize(r, eventBufferBytes), limit: limit}
}

// Next returns the next event. It returns io.EOF at the end of the stream
// between events, ErrTruncatedEvent at the end within an event, and otherwise an
// EventTooLargeError or the reader's error.
func (r *EventReader) Next() (*Event, error) {
	r.raw.Reset()
	event := &Event{}
	for {
		line, err := r.readLine()
		if err != nil {
			return nil, r.streamError(err)
		}
		if len(line) == 0 {
			event.Raw = r.raw.Bytes()
			return event, nil
		}
		event.parseField(line)
	}
}

// streamError converts an end of the stream within an event to ErrTruncatedEvent.
func (r *EventReader) streamError(err error) error {
	if errors.Is(err, io.EOF) && r.raw.Len() > 0 {
		return ErrTruncatedEvent
	}
	return err
}

// readLine appends one line to raw and returns it without its line ending.
func (r *EventReader) readLine() ([]byte, error) {
	start := r.raw.Len()
	for {
		chunk, err := r.buffered.ReadSlice('\n')
		r.raw.Write(chunk)
		if r.raw.Len() > r.limit {
			return nil, &EventTooLargeError{Limit: r.limit}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(r.raw.Bytes()[start:], "\r\n"), nil
	}
}

// parseField parses one field of the event. Unknown fields and comments are
// kept in Raw only.
func (e *Event) parseField(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "id":
		e.ID = string(value)
	case "event":
		e.Name = string(value)
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	}
}
