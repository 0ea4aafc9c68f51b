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
		Description: "Reads the logs named, or standard input.\nExample: jaythread account entry-1.log entry-2.log",
		Action:      account,
	})
}

func account(_ context.Context, c *cli.Command) error {
	ledger := jayaccount.NewLedger()
	if c.Args().Len() == 0 {
		if err := ledger.Read(c.Root().Reader); err != nil {
			return fmt.Errorf("standard input: %w", err)
		}
	}
	for _, name := range c.Args().Slice() {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		err = ledger.Read(file)
		_ = file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return ledger.Account().Write(c.Root().Writer)
}
