package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"verbenaseam.example/verbenaseam/connection/direct"
)

// streamError is the reason why the relay of a response ended early.
type streamError string

// Error implements error.
func (e streamError) Error() string { return string(e) }

const (
	// errCallerDisconnected means that writing to the caller failed.
	errCallerDisconnected = streamError("caller disconnected")
	// errTruncatedEvent means that a stream ended in the middle of an event.
	errTruncatedEvent = streamError("stream ended in the middle of an event")
	// errEventTooLong means that an event exceeds eventLimit, which is more than any
	// target sends.
	errEventTooLong = streamError("stream event exceeds the size limit")
	// errTargetSilent means that the target made no progress while others of its
	// service did.
	errTargetSilent = streamError("target made no progress while others did")
	// errTargetSlow means that the target is slow and others have free capacity.
	errTargetSlow = streamError("target is slow while others have free capacity")
)

const (
	// streamBuffer is the size of one read from a stream, in bytes.
	streamBuffer = 4 << 10
	// eventLimit bounds the size of one event, in bytes.
	eventLimit = 1 << 20
)

// streamWriter writes complete events to the caller, each of them once.
type streamWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// started is set once the response head has been written.
	started bool
	// read is the number of bytes read from the target.
	read int
	// lastID is the ID of the last event written that has one.
	lastID string
	// unidentified is set if an event with data but without an ID was written after that
	// one. Another target cannot know that the caller has it.
	unidentified bool
}

// copy relays complete events until the stream ends; it returns nil if the stream
// ended after a complete event or without any. begin is called before the first event
// that is written to the caller, progress whenever complete events have arrived.
func (s *streamWriter) copy(response *direct.Response, progress, begin func()) error {
	buffer := make([]byte, streamBuffer)
	var pending []byte
	for {
		n, err := response.Read(buffer)
		s.read += n
		searched := len(pending)
		pending = append(pending, buffer[:n]...)
		events, rest := splitCompleteEvents(pending, searched)
		if len(events) > 0 {
			progress()
			if writeErr := s.write(events, response.Status, begin); writeErr != nil {
				return writeErr
			}
			pending = append(pending[:0], rest...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) > 0:
			return errTruncatedEvent
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case len(pending) > eventLimit:
			return errEventTooLong
		}
	}
}

// splitCompleteEvents splits data after its last complete event. The first searched bytes hold
// none, so that a long event is not searched from its start with each read.
func splitCompleteEvents(data []byte, searched int) (events, rest []byte) {
	from := max(searched-1, 0)
	end := bytes.LastIndex(data[from:], []byte("\n\n"))
	if end < 0 {
		return nil, data
	}
	end += from + 2
	return data[:end], data[end:]
}

// write writes events and skips those that the caller has already received.
func (s *streamWriter) write(events []byte, status int, begin func()) error {
	for len(events) > 0 {
		end := bytes.Index(events, []byte("\n\n")) + 2
		event := events[:end]
		events = events[end:]
		id := eventID(event)
		if id != "" && !isNewer(id, s.lastID) {
			continue
		}
		if !s.started {
			begin()
			s.w.WriteHeader(status)
			s.started = true
		}
		if _, err := s.w.Write(event); err != nil {
			return errCallerDisconnected
		}
		if id != "" {
			s.lastID, s.unidentified = id, false
		} else if hasData(event) {
			s.unidentified = true
		}
	}
	if s.started && s.control.Flush() != nil {
		return errCallerDisconnected
	}
	return nil
}

// finish completes a stream that ended regularly: it writes the response head if no
// event was written.
func (s *streamWriter) finish(response *direct.Response) {
	if s.started {
		return
	}
	copyHeaders(s.w, response)
	s.w.WriteHeader(response.Status)
}

// eventID returns the ID of an event, or an empty string if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// hasData reports whether an event has data. One without is a comment, or sets options.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data")) || bytes.Contains(event, []byte("\ndata"))
}

// isNewer reports whether the event with the given ID comes after the one with
// lastID. IDs that are not integers are always taken as newer.
func isNewer(id, lastID string) bool {
	last, lastErr := strconv.ParseInt(lastID, 10, 64)
	next, nextErr := strconv.ParseInt(id, 10, 64)
	if lastErr != nil || nextErr != nil {
		return true
	}
	return next > last
}
