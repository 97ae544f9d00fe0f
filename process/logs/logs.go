// Package logs sets up structured logging. Each message is prefixed with the
// component that logs it.
package logs

import (
	"io"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/settings"
)

// partField is the log field that holds the name of the component.
const partField = "part"

// New returns a logger that writes to out according to the settings, which must have
// been validated. An unknown level falls back to info.
func New(out io.Writer, s settings.Log) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&prefixFormatter{next: formatterFor(s.Format)})
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		level = logrus.InfoLevel
	}
	logger.SetLevel(level)
	return logger
}

// Discard returns a logger that discards all output.
func Discard() *logrus.Logger {
	return New(io.Discard, settings.Log{Level: "error"})
}

// OrDefault returns logger, or logrus's standard logger if it is nil, so that
// embedded components need no logger.
func OrDefault(logger *logrus.Logger) *logrus.Logger {
	if logger == nil {
		return logrus.StandardLogger()
	}
	return logger
}

// Component returns the logger of the component named part.
func Component(logger *logrus.Logger, part string) *logrus.Entry {
	return logger.WithField(partField, part)
}

func formatterFor(format string) logrus.Formatter {
	if format == "json" {
		return &logrus.JSONFormatter{}
	}
	return &logrus.TextFormatter{FullTimestamp: true, DisableColors: true}
}

// prefixFormatter prefixes the message with the component.
type prefixFormatter struct {
	next logrus.Formatter
}

// Format implements logrus.Formatter.
func (f *prefixFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	part, ok := entry.Data[partField].(string)
	if !ok {
		return f.next.Format(entry)
	}
	prefixed := *entry
	prefixed.Message = part + ": " + entry.Message
	return f.next.Format(&prefixed)
}

// ReportIgnoredKeys logs the keys of a settings file that this build does not know, if there
// are any.
func ReportIgnoredKeys(logger *logrus.Logger, keys []string) {
	if len(keys) > 0 {
		Component(logger, "settings").WithField("keys", keys).Warn("optional keys that this build does not know are ignored")
	}
}
