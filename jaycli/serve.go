package jaycli

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"jaythread/jayentry"
	"jaythread/jaylogger"
	"jaythread/jayoptions"
	"jaythread/jayplatform"
)

func serveCommand() *cli.Command {
	return command(&cli.Command{
		Name:        "serve",
		Usage:       "run an entry instance",
		Description: "Example: jaythread serve --config entry.jsonc",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`; without one the defaults are used", Sources: cli.EnvVars("JAYTHREAD_SETTINGS")},
		},
		Action: serve,
	})
}

func serve(ctx context.Context, c *cli.Command) error {
	options, err := loadSettings(c.String("config"))
	if err != nil {
		return err
	}
	if options.JobService.Enabled() {
		return serveJobs(ctx, c, options)
	}
	logger, lines := jaylogger.NewBuffered(os.Stderr, options.LogFormat, options.LogLevel)
	defer lines.Close(logFlushTimeout)
	platform := jayplatform.NewClient(options.PlatformURL, time.Duration(options.PlatformTimeout))
	// The first call reports a wrong address to the operator at once. If the entry
	// only retried, it would never become ready and the command would not fail.
	if err := firstCall(ctx, platform); err != nil {
		if len(options.PeerSeeds) == 0 {
			return err
		}
		logger.Info("platform is unavailable; requesting the state from peers", "error", err.Error())
	}
	if ctx.Err() != nil {
		logger.Info("stopped before the start")
		return nil
	}
	entry, err := jayentry.New(options, platform, logger)
	if err != nil {
		return err
	}
	if err := entry.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	<-ctx.Done()
	return entry.Stop()
}

// firstCall calls the platform. It returns nil without an answer if the context ends before.
func firstCall(ctx context.Context, platform *jayplatform.Client) error {
	answered := make(chan error, 1)
	go func() {
		_, err := platform.Since(0, 0)
		answered <- err
	}()
	select {
	case err := <-answered:
		return err
	case <-ctx.Done():
		return nil
	}
}

// loadSettings reads the settings from a file, or returns the defaults if no file is
// given.
func loadSettings(file string) (*jayoptions.Options, error) {
	if file == "" {
		return jayoptions.New(), nil
	}
	return jayoptions.ParseFile(file)
}
