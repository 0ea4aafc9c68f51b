package jaycli

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"jaythread/jayaccount"
)

func accountCommand() *cli.Command {
	return command(&cli.Command{
		Name:        "account",
		Usage:       "show from the logs of all entries where jobs' time and instances' seconds went",
		ArgsUsage:   "[LOG...]",
		Description: "Reads the logs named, or standard input.\nExample: jaythread account --plot day.svg entry-1.log entry-2.log",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plot", Usage: "also draw demand, instances and late jobs by second into `FILE`, as SVG"},
		},
		Action: account,
	})
}

func account(_ context.Context, c *cli.Command) error {
	reader := jayaccount.NewLogReader()
	if c.Args().Len() == 0 {
		if err := reader.Read(c.Root().Reader); err != nil {
			return fmt.Errorf("standard input: %w", err)
		}
	}
	for _, name := range c.Args().Slice() {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		err = reader.Read(file)
		_ = file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	sums := reader.Account()
	if name := c.String("plot"); name != "" {
		if err := writePlotFile(name, sums); err != nil {
			return err
		}
	}
	return sums.Write(c.Root().Writer)
}

// writePlotFile writes the plot of an account to a file.
func writePlotFile(name string, sums jayaccount.Account) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	sums.WritePlot(file)
	return file.Close()
}
