// Package jaycli implements the command line. Most subcommands have a file of their
// own.
package jaycli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"runtime"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"jaythread/jayapi"
)

// Exit codes of all subcommands.
const (
	ExitGood    = 0
	ExitRefused = 1
	ExitUsage   = 2
)

// Version is the program's version. It is set when a release is built.
var Version = "development"

// errUsage is wrapped by errors about wrong arguments or flags.
var errUsage = errors.New("usage")

// Run runs the command line and returns the exit code. SIGINT and SIGTERM end the
// running command gracefully.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	app := newApp()
	app.Writer = out
	app.ErrWriter = errOut
	err := app.Run(ctx, args)
	switch {
	case err == nil:
		return ExitGood
	case errors.Is(err, errUsage):
		_, _ = fmt.Fprintln(errOut, "jaythread:", strings.TrimPrefix(err.Error(), "usage: "))
		return ExitUsage
	default:
		_, _ = fmt.Fprintln(errOut, "jaythread:", err)
		return ExitRefused
	}
}

func newApp() *cli.Command {
	return &cli.Command{
		Name:                  "jaythread",
		Usage:                 "fleet capacity and maintenance manager",
		Version:               Version,
		EnableShellCompletion: true,
		Suggest:               true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError:          onUsageError,
		Action:                noSuchCommand,
		Commands: []*cli.Command{
			serveCommand(),
			checkCommand(),
			applyCommand(),
			statusCommand(),
			auditCommand(),
			accountCommand(),
			traceCommand(),
			waveCommand(),
			planCommand(),
			moveCommand(),
			jobCommand(),
			quarantineCommand(),
			explainCommand(),
			demoCommand(),
			standinCommand(),
			versionCommand(),
		},
	}
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError("%v", err)
}

func usageError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, args...))
}

func noSuchCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		return usageError("no such command: %s; see jaythread --help", c.Args().First())
	}
	return cli.ShowAppHelp(c)
}

// operatorFlags returns the flags that are common to all subcommands that call an
// entry, followed by further flags.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "operators", Usage: "base `URL` of an entry's operator interface", Value: "http://127.0.0.1:8081", Sources: cli.EnvVars("JAYTHREAD_OPERATORS")},
		&cli.StringFlag{Name: "token", Usage: "bearer `TOKEN` of the operator interface", Sources: cli.EnvVars("JAYTHREAD_TOKEN")},
		&cli.StringFlag{Name: "as", Usage: "`NAME` for the audit trail; default is the user's", Sources: cli.EnvVars("JAYTHREAD_ACTOR")},
		&cli.StringFlag{Name: "output", Usage: "`FORMAT`: text or json", Value: "text", Validator: oneOf("text", "json")},
	}
	return append(flags, more...)
}

func oneOf(allowed ...string) func(string) error {
	return func(value string) error {
		for _, a := range allowed {
			if value == a {
				return nil
			}
		}
		return fmt.Errorf("%q is none of %v", value, allowed)
	}
}

func operatorClient(c *cli.Command) *jayapi.Client {
	actor := c.String("as")
	if actor == "" {
		actor = userName()
	}
	return jayapi.NewClient(c.String("operators"), c.String("token"), actor)
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func versionCommand() *cli.Command {
	return command(&cli.Command{
		Name:  "version",
		Usage: "print the program's and the language's version",
		Action: func(_ context.Context, c *cli.Command) error {
			printLine(c, "jaythread %s %s", Version, runtime.Version())
			return nil
		},
	})
}

// command sets the fields that are common to all subcommands.
func command(c *cli.Command) *cli.Command {
	c.OnUsageError = onUsageError
	return c
}

func oneArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usageError("%s takes %s; see jaythread %s --help", c.Name, what, c.FullName())
	}
	return c.Args().First(), nil
}
