package jaycli

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"jaythread/jayapi"
)

func auditCommand() *cli.Command {
	return command(&cli.Command{
		Name:        "audit",
		Usage:       "show who changed what, why, and what was refused",
		Description: "Example: jaythread audit --kind configuration --follow",
		Flags: operatorFlags(
			&cli.StringFlag{Name: "kind", Usage: "only this `KIND`: configuration, wave, step, move, attach, detach, health, quarantine, task, job, planner, entryJoined, entryLeft"},
			&cli.StringFlag{Name: "subject", Usage: "only subjects with this `TEXT`"},
			&cli.StringFlag{Name: "actor", Usage: "only actors with this `TEXT`"},
			&cli.Uint64Flag{Name: "from", Usage: "only from this `OFFSET` on"},
			&cli.BoolFlag{Name: "follow", Usage: "go on as changes come"},
		),
		Action: audit,
	})
}

// followPollInterval is the interval between queries with --follow.
const followPollInterval = 500 * time.Millisecond

func audit(ctx context.Context, c *cli.Command) error {
	client := operatorClient(c)
	filter := jayapi.AuditFilter{
		From:    c.Uint64("from"),
		Kind:    c.String("kind"),
		Subject: c.String("subject"),
		Actor:   c.String("actor"),
	}
	for {
		entries, err := client.Audit(filter)
		if err != nil {
			return err
		}
		if err := showAudit(c, entries); err != nil {
			return err
		}
		if n := len(entries); n > 0 {
			filter.From = entries[n-1].Offset + 1
		}
		if !c.Bool("follow") {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(followPollInterval):
		}
	}
}

// showAudit prints the entries. In the JSON format it prints one object per line,
// so that the output of --follow can be piped.
func showAudit(c *cli.Command, entries []jayapi.AuditEntry) error {
	if c.String("output") == "json" {
		encoder := json.NewEncoder(c.Root().Writer)
		for _, e := range entries {
			if err := encoder.Encode(e); err != nil {
				return err
			}
		}
		return nil
	}
	for _, e := range entries {
		printLine(c, "%s", formatAuditEntry(e))
	}
	return nil
}

func formatAuditEntry(e jayapi.AuditEntry) string {
	at := time.UnixMilli(e.UnixMillis).UTC().Format(time.RFC3339)
	line := fmt.Sprintf("%s #%d %s: %s %s", at, e.Offset, e.Actor, e.Kind, e.Subject)
	if e.Before != "" || e.After != "" {
		line += fmt.Sprintf(" (%s -> %s)", e.Before, e.After)
	}
	if e.Reason != "" {
		line += ", " + e.Reason
	}
	if e.Rejected != "" {
		line += "; refused: " + e.Rejected
	}
	return line
}
