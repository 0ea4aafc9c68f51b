package jaycli

import (
	"context"

	"github.com/urfave/cli/v3"

	"jaythread/jayapi"
)

func waveCommand() *cli.Command {
	return command(&cli.Command{
		Name:        "wave",
		Usage:       "start, pause, resume, cancel or show maintenance waves",
		Description: "Example: jaythread wave start --pool seats --pool fees kernel-update",
		Commands: []*cli.Command{
			command(&cli.Command{
				Name:      "start",
				Usage:     "start a wave over pools",
				ArgsUsage: "WAVE",
				Flags: operatorFlags(
					&cli.StringSliceFlag{Name: "pool", Usage: "a `POOL` of the wave; none means all"},
				),
				Action: startWave,
			}),
			wavePhaseCommand("pause", "start no more steps until resumed"),
			wavePhaseCommand("resume", "go on with a paused wave"),
			wavePhaseCommand("cancel", "end a wave; steps that reboot are finished"),
			command(&cli.Command{Name: "status", Usage: "show the waves", Flags: operatorFlags(), Action: waveStatus}),
		},
	})
}

func startWave(_ context.Context, c *cli.Command) error {
	wave, err := oneArgument(c, "one WAVE name")
	if err != nil {
		return err
	}
	result, err := operatorClient(c).StartWave(jayapi.Wave{Wave: wave, Pools: c.StringSlice("pool")})
	if err != nil {
		return err
	}
	return show(c, result, func(p *printer) { p.row("wave", wave, "started") })
}

func wavePhaseCommand(act, about string) *cli.Command {
	return command(&cli.Command{
		Name:      act,
		Usage:     about,
		ArgsUsage: "WAVE",
		Flags:     operatorFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			wave, err := oneArgument(c, "one WAVE name")
			if err != nil {
				return err
			}
			result, err := operatorClient(c).SetWave(wave, act)
			if err != nil {
				return err
			}
			return show(c, result, func(p *printer) { p.row("wave", wave, act+" accepted") })
		},
	})
}

func waveStatus(_ context.Context, c *cli.Command) error {
	status, err := operatorClient(c).Status()
	if err != nil {
		return err
	}
	return show(c, status.Waves, func(p *printer) {
		p.row("WAVE", "PHASE", "RETURNED", "UNDER WAY", "DUE")
		for _, w := range status.Waves {
			p.row(w.Wave, w.Phase, w.Returned, w.UnderWay, w.Due)
		}
	})
}
