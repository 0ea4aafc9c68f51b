// Package jaylogger creates the logger of a process. It writes readable lines to a
// terminal and JSON elsewhere. The logger's name identifies the part of the system.
package jaylogger

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zerologr"
	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"
)

// New returns a logger that writes to a file. The format is auto, json or text; the
// level is debug, info or error.
func New(out *os.File, format, level string) logr.Logger {
	return newLogger(out, isatty.IsTerminal(out.Fd()), format, level)
}

// NewBuffered returns a logger that never blocks, and its writer, which must be
// closed before the process exits.
func NewBuffered(out *os.File, format, level string) (logr.Logger, *Writer) {
	writer := NewWriter(out)
	return newLogger(writer, isatty.IsTerminal(out.Fd()), format, level), writer
}

func newLogger(writer io.Writer, terminal bool, format, level string) logr.Logger {
	if format == "text" || format == "auto" && terminal {
		writer = zerolog.ConsoleWriter{Out: writer, TimeFormat: time.TimeOnly, NoColor: !terminal}
	}
	setFieldNames()
	SetLevel(level)
	logger := zerolog.New(writer).With().Timestamp().Logger()
	return zerologr.New(&logger)
}

// setFieldNames sets the library's global field names. It does so only once,
// because existing loggers read them concurrently.
var setFieldNames = sync.OnceFunc(func() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerologr.NameFieldName = "part"
	zerologr.NameSeparator = "."
	zerologr.VerbosityFieldName = ""
})

// SetLevel sets the level of all loggers of the process.
func SetLevel(level string) {
	zerolog.SetGlobalLevel(parseLevel(level))
}

func parseLevel(level string) zerolog.Level {
	switch level {
	case "debug":
		return zerolog.DebugLevel
	case "error":
		return zerolog.ErrorLevel
	default:
		return zerolog.InfoLevel
	}
}
