package jaycli

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/urfave/cli/v3"

	"jaythread/jayapi"
	"jaythread/jayconfig"
)

func applyCommand() *cli.Command {
	return command(&cli.Command{
		Name:      "apply",
		Usage:     "publish a fleet configuration",
		ArgsUsage: "DIR|FILE",
		Description: "The revision that it replaces is the one in force, unless --replaces names it. If another\n" +
			"one came in between, nothing changes and both sides are shown.\n" +
			"Example: jaythread apply --replaces 42 --message 'more seats' --wait fleet/",
		Flags: operatorFlags(
			&cli.Int64Flag{Name: "replaces", Usage: "the `REVISION` that was edited", Value: -1},
			&cli.StringFlag{Name: "message", Usage: "`TEXT` for the audit trail", Required: true},
			&cli.BoolFlag{Name: "wait", Usage: "return when all live entries have it in force"},
			&cli.DurationFlag{Name: "timeout", Usage: "longest wait", Value: 30 * time.Second},
		),
		Action: apply,
	})
}

func apply(ctx context.Context, c *cli.Command) error {
	path, err := oneArgument(c, "one DIR or FILE")
	if err != nil {
		return err
	}
	_, document, err := jayconfig.ReadPath(path)
	if err != nil {
		return err
	}
	client := operatorClient(c)
	replaces, err := revisionToReplace(c, client)
	if err != nil {
		return err
	}
	result, err := client.Publish(jayapi.Publish{Replaces: replaces, Message: c.String("message"), Document: string(document)})
	if err != nil {
		return withConflictDiff(err, path, string(document))
	}
	if c.Bool("wait") {
		if err := awaitInForce(ctx, c, client, result.Revision); err != nil {
			return err
		}
	}
	return show(c, result, func(p *printer) { p.row("accepted as revision", result.Revision) })
}

func revisionToReplace(c *cli.Command, client *jayapi.Client) (uint64, error) {
	if named := c.Int64("replaces"); named >= 0 {
		return uint64(named), nil
	}
	current, err := client.Configuration()
	if err != nil {
		return 0, err
	}
	return current.Revision, nil
}

// withConflictDiff adds to a conflict error the difference between the document in
// force and the refused one, so that neither change is lost. Other errors are
// returned unchanged.
func withConflictDiff(err error, path, document string) error {
	var responseError *jayapi.ResponseError
	if !errors.As(err, &responseError) || responseError.Problem.InForce == nil {
		return err
	}
	other := responseError.Problem.InForce
	diff, diffErr := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(other.Document),
		B:        difflib.SplitLines(document),
		FromFile: fmt.Sprintf("revision %d, by %s: %s", other.Revision, other.Author, other.Message),
		ToFile:   path,
		Context:  3,
	})
	if diffErr != nil {
		return err
	}
	return fmt.Errorf("%w\n%s", err, diff)
}

// inForcePollInterval is the interval between queries for the revisions in force.
const inForcePollInterval = 50 * time.Millisecond

// awaitInForce waits until a revision is in force at all live entries, and reports
// each entry that has it. It fails after the timeout of the command line.
func awaitInForce(ctx context.Context, c *cli.Command, client *jayapi.Client, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	reported := map[string]bool{}
	for {
		state, err := client.InForce(revision)
		if err == nil {
			for entry, in := range state.Entries {
				if in >= revision && !reported[entry] {
					reported[entry] = true
					_, _ = fmt.Fprintf(c.Root().ErrWriter, "in force at %s\n", entry)
				}
			}
			if state.Everywhere {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("revision %d was accepted but is not in force everywhere yet: %d entries have it", revision, len(reported))
		case <-time.After(inForcePollInterval):
		}
	}
}
