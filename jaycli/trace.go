package jaycli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"jaythread/jaytrace"
)

func traceCommand() *cli.Command {
	return command(&cli.Command{
		Name:        "trace",
		Usage:       "show the timeline of one job from the logs of all entries",
		ArgsUsage:   "JOB [LOG...]",
		Description: "Reads the logs named, or standard input.\nExample: jaythread trace 5c0e7a21d94b36f8 entry-1.log entry-2.log",
		Action:      trace,
	})
}

// errJobNotInLogs is returned if no log line names the job.
var errJobNotInLogs = errors.New("no line names this job; it may have been submitted elsewhere, or its lines were lost")

func trace(_ context.Context, c *cli.Command) error {
	args := c.Args().Slice()
	if len(args) == 0 {
		return usageError("name the job")
	}
	job, logs := args[0], args[1:]
	lines, err := collectLines(c, job, logs)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return errJobNotInLogs
	}
	jaytrace.Merge(lines)
	return jaytrace.Write(c.Root().Writer, lines)
}

func collectLines(c *cli.Command, job string, logs []string) ([]jaytrace.Line, error) {
	if len(logs) == 0 {
		return collectFrom(c.Root().Reader, "standard input", job)
	}
	var all []jaytrace.Line
	for _, name := range logs {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := collectFrom(file, name, job)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func collectFrom(log io.Reader, name, job string) ([]jaytrace.Line, error) {
	lines, err := jaytrace.Collect(log, job)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}
