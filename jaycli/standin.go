package jaycli

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/urfave/cli/v3"

	"jaythread/jaydemo"
	"jaythread/jaystandin"
)

func standinCommand() *cli.Command {
	return command(&cli.Command{
		Name:        "standin",
		Usage:       "run stand-ins of the platform: log service, instance list and workers",
		Description: "For trials only. Faults are switched by POST to /faults/log, /faults/expire?stream=S&before=OFFSET,\n/faults/kill?worker=ID, /faults/revive?worker=ID and /faults/worker/ID. Example: jaythread standin --listen 127.0.0.1:9000",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:9000", Usage: "`ADDR` of the platform's interface"},
			&cli.StringFlag{Name: "profile", Value: "mesob", Usage: "whose workers: `NAME` mesob or qalam"},
			&cli.DurationFlag{Name: "lag", Value: 500 * time.Millisecond, Usage: "the instance list's `LAG`"},
			&cli.DurationFlag{Name: "reboot", Value: 2 * time.Second, Usage: "`TIME` that a reboot takes"},
			&cli.DurationFlag{Name: "log-delay", Usage: "`TIME` added to each call of the log service"},
			&cli.BoolFlag{Name: "log-down", Usage: "begin with the log service down"},
		},
		Action:   standin,
		Commands: []*cli.Command{standinJobsCommand()},
	})
}

func standin(ctx context.Context, c *cli.Command) error {
	profile, err := jaydemo.ProfileNamed(c.String("profile"))
	if err != nil {
		return usageError("--profile: %v", err)
	}
	platform := &jaystandin.Platform{
		Log:   jaystandin.NewLogService(),
		Fleet: jaystandin.NewFleet(c.Duration("lag"), c.Duration("reboot")),
	}
	platform.Log.SetFaults(jaystandin.LogFaults{Down: c.Bool("log-down"), Delay: c.Duration("log-delay")})
	listener, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := profile.AddWorkers(platform.Fleet); err != nil {
		return err
	}
	defer platform.Fleet.Close()
	printLine(c, "platform: http://%s", listener.Addr())
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	_ = platform.Serve(listener)
	return nil
}
