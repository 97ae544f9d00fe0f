package node

import (
	"strings"

	"github.com/sirupsen/logrus"
)

// logWriter forwards the log lines of net/http, for example about failed TLS
// handshakes, to the process log.
type logWriter struct {
	log *logrus.Entry
}

// Write implements io.Writer.
func (w *logWriter) Write(line []byte) (int, error) {
	w.log.Warn(strings.TrimSpace(string(line)))
	return len(line), nil
}
