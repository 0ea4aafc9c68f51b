// Package jaylogger makes the logger of a process: lines for people on a
// terminal, JSON elsewhere. Each part of the system has a fixed prefix.
package jaylogger

import (
	"io"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zerologr"
	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"
)

// New returns a logger. The format is auto, json or text; the level is debug,
// info or error.
func New(out *os.File, format, level string) logr.Logger {
	var writer io.Writer = out
	if format == "text" || format == "auto" && isatty.IsTerminal(out.Fd()) {
		writer = zerolog.ConsoleWriter{Out: out, TimeFormat: time.TimeOnly, NoColor: !isatty.IsTerminal(out.Fd())}
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerologr.NameFieldName = "part"
	zerologr.NameSeparator = "."
	zerologr.VerbosityFieldName = ""
	SetLevel(level)
	logger := zerolog.New(writer).With().Timestamp().Logger()
	return zerologr.New(&logger)
}

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
