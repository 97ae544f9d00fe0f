package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record is the record of a case. It is safe for concurrent use.
type record struct {
	out   io.Writer
	began time.Time
	mu    sync.Mutex
}

// note writes a line with the time since the case began.
func (r *record) note(format string, arguments ...any) { r.noteAt(time.Now(), format, arguments...) }

// noteAt is note for something that happened at the given time.
func (r *record) noteAt(at time.Time, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}
