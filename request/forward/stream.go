package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"verbenaseam.example/verbenaseam/connection/direct"
)

// streamError is why a stream ended before its end.
type streamError string

// Error implements error.
func (e streamError) Error() string { return string(e) }

const (
	// errCallerGone means that nothing can be written to the caller any more.
	errCallerGone = streamError("the caller has left")
	// errTornEvent means that a stream ended in the middle of an event.
	errTornEvent = streamError("the stream ended in the middle of an event")
	// errEventTooLong means that an event is longer than any target sends.
	errEventTooLong = streamError("an event is too long")
	// errSilent means that the target was silent while others went on.
	errSilent = streamError("the target is silent while others go on")
	// errSlow means that the target is slow and others have room.
	errSlow = streamError("the target is slow while others have room")
)

const (
	// streamBuffer is how much of a stream is read at once.
	streamBuffer = 4 << 10
	// eventLimit bounds one event.
	eventLimit = 1 << 20
)

// streamWriter writes whole events to the caller, each once.
type streamWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// started tells that the head has been written.
	started bool
	// last is the id of the last event written.
	last string
}

// copy passes whole events on until the stream ends. begin is called before the
// first event of all, progress whenever events have come; it returns nil at the
// end of a whole stream.
func (s *streamWriter) copy(answer *direct.Answer, progress, begin func()) error {
	buffer := make([]byte, streamBuffer)
	var held []byte
	for {
		n, err := answer.Read(buffer)
		held = append(held, buffer[:n]...)
		events, rest := wholeEvents(held)
		if len(events) > 0 {
			progress()
			if writeErr := s.write(events, answer.Status, begin); writeErr != nil {
				return writeErr
			}
			held = append(held[:0], rest...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(held) > 0:
			return errTornEvent
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case len(held) > eventLimit:
			return errEventTooLong
		}
	}
}

// wholeEvents splits off the whole events at the start of data.
func wholeEvents(data []byte) (events, rest []byte) {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if end < 0 {
		return nil, data
	}
	return data[:end+2], data[end+2:]
}

// write writes events and leaves out those that the caller has.
func (s *streamWriter) write(events []byte, status int, begin func()) error {
	for len(events) > 0 {
		end := bytes.Index(events, []byte("\n\n")) + 2
		event := events[:end]
		events = events[end:]
		id := eventID(event)
		if id != "" && !follows(s.last, id) {
			continue
		}
		if !s.started {
			begin()
			s.w.WriteHeader(status)
			s.started = true
		}
		if _, err := s.w.Write(event); err != nil {
			return errCallerGone
		}
		if id != "" {
			s.last = id
		}
	}
	if s.started && s.control.Flush() != nil {
		return errCallerGone
	}
	return nil
}

// finish ends a whole stream; one without events has only a head.
func (s *streamWriter) finish(answer *direct.Answer) {
	if s.started {
		return
	}
	writeHead(s.w, answer)
	s.w.WriteHeader(answer.Status)
}

// eventID returns the id of an event, empty for none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// follows tells whether an event with the id comes after the last; ids that are
// no numbers are taken as they come.
func follows(last, id string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	after, errAfter := strconv.ParseInt(id, 10, 64)
	if errBefore != nil || errAfter != nil {
		return true
	}
	return after > before
}
