// Package jaylogger makes the logger of a process: lines for people on a
// terminal, JSON elsewhere. Each part of the system has a fixed prefix.
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

// New returns a logger. The format is auto, json or text; the level is debug,
// info or error.
func New(out *os.File, format, level string) logr.Logger {
	return newLogger(out, isatty.IsTerminal(out.Fd()), format, level)
}

// NewBuffered returns a logger that never blocks, and its writer, which is to
// be closed at the end.
func NewBuffered(out *os.File, format, level string) (logr.Logger, *Writer) {
	writer := NewWriter(out)
	return newLogger(writer, isatty.IsTerminal(out.Fd()), format, level), writer
}

func newLogger(writer io.Writer, terminal bool, format, level string) logr.Logger {
	if format == "text" || format == "auto" && terminal {
		writer = zerolog.ConsoleWriter{Out: writer, TimeFormat: time.TimeOnly, NoColor: !terminal}
	}
	nameFields()
	SetLevel(level)
	logger := zerolog.New(writer).With().Timestamp().Logger()
	return zerologr.New(&logger)
}

// nameFields sets the library's names of fields, once, since loggers that exist
// read them all the time.
var nameFields = sync.OnceFunc(func() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerologr.NameFieldName = "part"
	zerologr.NameSeparator = "."
	zerologr.VerbosityFieldName = ""
})

// SetLevel changes the level of all loggers of the process.
func SetLevel(level string) {
	zerolog.SetGlobalLevel(levelOf(level))
}

func levelOf(level string) zerolog.Level {
	switch level {
	case "debug":
		return zerolog.DebugLevel
	case "error":
		return zerolog.ErrorLevel
	default:
		return zerolog.InfoLevel
	}
}
