package jaycli

import (
	"context"

	"github.com/urfave/cli/v3"

	"jaythread/jayapi"
)

func statusCommand() *cli.Command {
	return command(&cli.Command{
		Name:        "status",
		Usage:       "show what is in force where, pools, budgets, waves and jobs",
		Description: "Example: jaythread status --output json",
		Flags:       operatorFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			status, err := operatorClient(c).Status()
			if err != nil {
				return err
			}
			return show(c, status, func(p *printer) { printStatus(p, status) })
		},
	})
}

func printStatus(p *printer, s *jayapi.Status) {
	p.row("revision", s.Revision, "by "+s.Author, s.Message)
	p.row("ready", s.Ready, "planner "+s.Planner)
	for _, e := range s.Entries {
		p.row("entry", e.Entry, "revision", e.Revision)
	}
	p.row()
	p.row("POOL", "MEMBERS", "AVAILABLE", "MINIMUM", "WORST LOSS", "SLACK", "STATE")
	for _, pool := range s.Pools {
		p.row(pool.Pool, pool.Members, pool.Available, pool.MinAvailable, pool.WorstLoss, pool.Slack, pool.State)
	}
	if len(s.Waves) > 0 {
		p.row()
		p.row("WAVE", "PHASE", "RETURNED", "UNDER WAY", "DUE")
	}
	for _, w := range s.Waves {
		p.row(w.Wave, w.Phase, w.Returned, w.UnderWay, w.Due)
	}
	if len(s.Jobs) > 0 {
		p.row()
		p.row("JOB", "POOL", "PLACED", "REPLICAS", "PARKED")
	}
	for _, j := range s.Jobs {
		p.row(j.Job, j.Pool, j.Placed, j.Replicas, j.Parked)
	}
}
