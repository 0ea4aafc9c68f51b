package jaycli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"jaythread/jaydemo"
	"jaythread/jaylogger"
)

func demoCommand() *cli.Command {
	return command(&cli.Command{
		Name:  "demo",
		Usage: "run a whole small installation in this process and judge its promises",
		Description: "Exits with 0 only if no promise was broken. The last line is a JSON object of what the\n" +
			"stand-ins counted. Example: jaythread demo --for 20s --profile qalam",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "end after this `TIME`; without it, run until interrupted"},
			&cli.StringFlag{Name: "profile", Value: "mesob", Usage: "whose sizes: `NAME` mesob or qalam"},
			&cli.StringFlag{Name: "break", Usage: "break a promise on purpose: `HOW` runTwice or overlook"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "`LEVEL`: debug, info or error", Validator: oneOf("debug", "info", "error")},
		},
		Action: demo,
	})
}

func demo(ctx context.Context, c *cli.Command) error {
	profile, err := jaydemo.ProfileNamed(c.String("profile"))
	if err != nil {
		return usageError("--profile: %v", err)
	}
	report, err := jaydemo.Run(ctx, jaydemo.Options{
		Profile: profile,
		For:     c.Duration("for"),
		Break:   c.String("break"),
		Out:     c.Root().Writer,
		Logger:  jaylogger.New(os.Stderr, "auto", c.String("log-level")),
	})
	if err != nil {
		return err
	}
	text, err := json.Marshal(report)
	if err != nil {
		return err
	}
	printLine(c, "%s", text)
	if broken := report.Broken(); len(broken) > 0 {
		return fmt.Errorf("promises broken: %s", strings.Join(broken, ", "))
	}
	return nil
}
