package node

import (
	"strings"

	"github.com/sirupsen/logrus"
)

// logWriter passes the lines of the HTTP library, as of failed TLS handshakes, to
// the process's own log.
type logWriter struct {
	log *logrus.Entry
}

// Write implements io.Writer.
func (w *logWriter) Write(line []byte) (int, error) {
	w.log.Warn(strings.TrimSpace(string(line)))
	return len(line), nil
}
