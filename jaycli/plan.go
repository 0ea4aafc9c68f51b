package jaycli

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
)

func planCommand() *cli.Command {
	return command(&cli.Command{
		Name:        "plan",
		Usage:       "show what a wave would do, without doing it",
		Description: "Example: jaythread plan --pool seats --step 15m",
		Flags: operatorFlags(
			&cli.StringSliceFlag{Name: "pool", Usage: "a `POOL` of the wave; none means all"},
			&cli.DurationFlag{Name: "step", Usage: "time from drain to return", Value: 10 * time.Minute},
		),
		Action: plan,
	})
}

func plan(_ context.Context, c *cli.Command) error {
	dry, err := operatorClient(c).Plan(c.StringSlice("pool"), c.Duration("step"))
	if err != nil {
		return err
	}
	return show(c, dry, func(p *printer) {
		p.row("AT", "INSTANCE", "POOL", "RULE")
		for _, s := range dry.Steps {
			p.row(time.Duration(s.AtMillis)*time.Millisecond, s.Instance, s.Pool, s.Rule)
		}
		p.row()
		p.row("roll-out", time.Duration(dry.RollOutMillis)*time.Millisecond,
			"lower bound", time.Duration(dry.LowerBoundMillis)*time.Millisecond)
		p.row("buffer cost", dry.BufferCost)
		for _, id := range dry.Stuck {
			p.row("not let through by budgets or rules:", id)
		}
	})
}
