package engine

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// serveStream sends the tokens from index from on as server-sent events. The
// event id is the token's index; [DONE] is sent only after the last token.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, seq *sequence, from int) {
	defer e.detachClient(seq, true)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(RequestIDHeader, seq.id)
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	sent := from
	for {
		progress := e.snapshot(seq)
		for ; sent < progress.produced; sent++ {
			if writeTokenEvent(w, seq, sent) != nil {
				return
			}
		}
		if progress.state == stateFinished {
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if progress.state == stateFailed || progress.state == statePaused {
			endIncompleteStream(w, progress.err)
			return
		}
		if flush() != nil {
			return
		}
		select {
		case <-progress.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func writeTokenEvent(w http.ResponseWriter, seq *sequence, index int) error {
	body, err := tokenChunk(seq, index)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", index, body)
	return err
}

// endIncompleteStream ends a stream before its last token: with an error event if
// the request was cancelled or its deadline passed, else by cutting the
// connection, as when the engine crashes.
func endIncompleteStream(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrDeadline) || errors.Is(err, ErrCancelled) {
		_, _ = fmt.Fprintf(w, "event: error\ndata: {\"error\":{\"message\":%q}}\n\n", err.Error())
		return
	}
	panic(http.ErrAbortHandler)
}

// serveResume continues a disconnected stream from the token index in the query
// parameter "from".
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, http.StatusBadRequest, ErrUnknownStream)
		return
	}
	seq, err := e.resume(r.PathValue("id"))
	switch {
	case errors.Is(err, ErrUnknownStream):
		writeError(w, http.StatusNotFound, err)
		return
	case err != nil:
		writeSubmitError(w, err)
		return
	}
	e.serveStream(w, r, seq, from)
}
