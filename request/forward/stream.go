package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

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
	// errTargetTrickles means that the target has begun an event or a body and continues it
	// more slowly than pace.Rate, or not at all.
	errTargetTrickles = streamError("target sends too slowly")
	// errSuperseded means that the call has ended while an attempt of it was running.
	errSuperseded = streamError("the call has ended")
	// errTargetSlow means that the target is slow and others have free capacity.
	errTargetSlow = streamError("target is slow while others have free capacity")
	// errForeignResponse means that the head of another response stands in a stream, which a
	// faulty target has sent after it broke off.
	errForeignResponse = streamError("head of another response within the stream")
	// errUnidentifiedEvent means that a resumed stream has an event without an ID, which may be
	// the text of an error or one that the caller has already received.
	errUnidentifiedEvent = streamError("event without an ID in a resumed stream")
	// errNoEvent means that a stream that ends with its connection has no event, so the target has
	// stopped after the head.
	errNoEvent = streamError("stream ended before its first event")
	// errNothingResumed means that the target that resumes a stream ends it at once, although
	// the one before was in the middle of an event.
	errNothingResumed = streamError("target resumed the stream without its next event")
)

const (
	// streamBuffer is the size of the buffer for reads from a stream, in bytes, and minRead
	// the least size of one read.
	streamBuffer = 4 << 10
	minRead      = 512
	// eventLimit bounds the size of one event, in bytes.
	eventLimit = 1 << 20
)

// streamWriter queues complete events for the caller, each of them once.
type streamWriter struct {
	w      http.ResponseWriter
	output *output
	// queue is nil until the response head has been written.
	queue *streamQueue
	// read is the number of bytes read from the target.
	read int
	// lastID is the ID of the last event queued that has one.
	lastID string
	// unidentified is set if an event with data but without an ID was written after that
	// one. Another target cannot know that the caller has it.
	unidentified bool
	// first is the response that the stream began with; nil before that.
	first *direct.Response
	// resumed is set once another target has continued the stream. truncated is set while the
	// stream has ended in the middle of an event that did not come whole since.
	resumed, truncated bool
}

// continues reports whether a response may continue the stream: it has the status of the first
// one, and the type, if both state one. Otherwise it may be the text of an error.
func (s *streamWriter) continues(response *direct.Response) bool {
	own, first := mediaType(response), mediaType(s.first)
	return response.Status == s.first.Status && (own == first || own == "" || first == "")
}

// mediaType returns the media type of a response without parameters, in lower case.
func mediaType(response *direct.Response) string {
	name, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// started reports whether the response head has been written.
func (s *streamWriter) started() bool { return s.queue != nil }

// copy relays complete events until the stream ends; it returns nil if the stream
// ended after a complete event or without any. begin is called before the first event
// that is written to the caller, progress whenever complete events have arrived.
// buffered is called with the size of the buffer for an event that takes more than streamBuffer,
// and returns false if the stream was ended to free memory.
func (s *streamWriter) copy(src *streamSource, buffered func(held int) bool, progress, begin func()) error {
	pending := make([]byte, 0, streamBuffer)
	for {
		searched := len(pending)
		pending = slices.Grow(pending, minRead)
		if cap(pending) > streamBuffer && !buffered(cap(pending)) {
			return errResponseTooLong
		}
		n, err := src.response.Read(pending[searched:cap(pending)])
		pending = pending[:searched+n]
		s.read += n
		events, rest := splitCompleteEvents(pending, searched)
		if len(events) > 0 {
			if hasField(events) {
				progress()
			}
			src.watchdog.pauseReading()
			writeErr := s.write(src.ctx, events, src.response, begin)
			src.watchdog.resumeReading()
			if writeErr != nil {
				return writeErr
			}
			pending = append(pending[:0], rest...)
		}
		src.watchdog.received(n, len(pending) > 0)
		s.truncated = s.truncated || err != nil && hasField(pending)
		switch {
		case errors.Is(err, io.EOF) && len(pending) > 0:
			return errTruncatedEvent
		case errors.Is(err, io.EOF) && s.truncated:
			return errNothingResumed
		case errors.Is(err, io.EOF) && s.read == 0 && !src.response.Delimited:
			return errNoEvent
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case len(pending) > eventLimit:
			return errEventTooLong
		}
	}
}

// hasField reports whether events hold more than comments and blank lines. Comments keep a
// connection open; they show no progress of the stream.
func hasField(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line[0] != ':' && line[0] != '\n' && line[0] != '\r' {
			return true
		}
	}
	return false
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

// write queues events and skips those that the caller has already received. It returns the
// error of writing earlier ones, or why an event cannot belong to the stream.
func (s *streamWriter) write(ctx context.Context, events []byte, response *direct.Response, begin func()) error {
	for len(events) > 0 {
		end := bytes.Index(events, []byte("\n\n")) + 2
		event := events[:end]
		events = events[end:]
		id := eventID(event)
		if err := s.foreign(event, id); err != nil {
			s.truncated = true
			return err
		}
		if id != "" && !isNewer(id, s.lastID) {
			continue
		}
		if !s.started() {
			begin()
			s.w.WriteHeader(response.Status)
			s.first = response
			s.queue = startStreamQueue(s.output)
		}
		s.truncated = s.truncated && !hasField(event)
		s.queue.add(event)
		if id != "" {
			s.lastID, s.unidentified = id, false
		} else if hasData(event) {
			s.unidentified = true
		}
	}
	if !s.started() {
		return nil
	}
	return s.queue.flush(ctx)
}

// foreign returns why an event with the given ID cannot belong to the stream, nil if it can.
func (s *streamWriter) foreign(event []byte, id string) error {
	if hasStatusLine(event) {
		return errForeignResponse
	}
	if s.resumed && id == "" && hasField(event) {
		return errUnidentifiedEvent
	}
	return nil
}

// hasStatusLine reports whether a line of an event is the first one of an HTTP response, which no
// field of an event looks like.
func hasStatusLine(event []byte) bool {
	return bytes.HasPrefix(event, []byte("HTTP/1.")) || bytes.Contains(event, []byte("\nHTTP/1."))
}

// failure returns the error of writing to the caller, nil if there was none.
func (s *streamWriter) failure() error {
	if !s.started() {
		return nil
	}
	_, err := s.queue.state()
	return err
}

// drain waits until the caller has taken all events, or has stalled.
func (s *streamWriter) drain() error {
	if !s.started() {
		return nil
	}
	return s.queue.drain()
}

// close ends writing to the caller at once.
func (s *streamWriter) close() {
	if s.started() {
		s.queue.close()
	}
	s.output.close()
}

// finish completes a stream that ended regularly: it writes the response head if no
// event was written.
func (s *streamWriter) finish(response *direct.Response) error {
	if s.started() {
		return s.drain()
	}
	copyHeaders(s.w, response)
	s.w.WriteHeader(response.Status)
	return nil
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
