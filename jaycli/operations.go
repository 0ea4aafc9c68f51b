package jaycli

import (
	"context"

	"github.com/urfave/cli/v3"

	"jaythread/jayapi"
)

func moveCommand() *cli.Command {
	return command(&cli.Command{
		Name:        "move",
		Usage:       "move an instance to another pool",
		ArgsUsage:   "INSTANCE POOL",
		Description: "Example: jaythread move seats-03 fees",
		Flags:       operatorFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return usageError("move takes an INSTANCE and a POOL")
			}
			instance, pool := c.Args().Get(0), c.Args().Get(1)
			result, err := operatorClient(c).Move(jayapi.Move{Instance: instance, Pool: pool})
			if err != nil {
				return err
			}
			return show(c, result, func(p *printer) { p.row(instance, "is draining for pool", pool) })
		},
	})
}

func jobCommand() *cli.Command {
	return command(&cli.Command{
		Name:  "job",
		Usage: "act on a job",
		Commands: []*cli.Command{command(&cli.Command{
			Name:      "release",
			Usage:     "take a parked job back into placement",
			ArgsUsage: "JOB",
			Flags:     operatorFlags(),
			Action: func(_ context.Context, c *cli.Command) error {
				job, err := oneArgument(c, "one JOB")
				if err != nil {
					return err
				}
				result, err := operatorClient(c).ReleaseJob(job)
				if err != nil {
					return err
				}
				return show(c, result, func(p *printer) { p.row("job", job, "released") })
			},
		})},
	})
}

func quarantineCommand() *cli.Command {
	return command(&cli.Command{
		Name:     "quarantine",
		Usage:    "take an instance out of service, within the budget, or give it back",
		Commands: []*cli.Command{quarantineSubcommand("set"), quarantineSubcommand("lift")},
	})
}

func quarantineSubcommand(act string) *cli.Command {
	return command(&cli.Command{
		Name:      act,
		Usage:     act + " the quarantine of an instance",
		ArgsUsage: "INSTANCE",
		Flags:     operatorFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			instance, err := oneArgument(c, "one INSTANCE")
			if err != nil {
				return err
			}
			result, err := operatorClient(c).Quarantine(instance, act)
			if err != nil {
				return err
			}
			return show(c, result, func(p *printer) { p.row("quarantine of", instance, act) })
		},
	})
}
