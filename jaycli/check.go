package jaycli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"jaythread/jayconfig"
	"jaythread/jayoptions"
)

func checkCommand() *cli.Command {
	return command(&cli.Command{
		Name:      "check",
		Usage:     "check settings and fleet configurations",
		ArgsUsage: "FILE...",
		Description: "Each file is taken for settings if it has one of their fields at the top, and for a\n" +
			"fleet configuration otherwise. Problems name file, line and column.\n" +
			"Example: jaythread check entry.jsonc fleet.jsonc",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "as", Usage: "take the files for `KIND`: auto, settings or fleet", Value: "auto", Validator: oneOf("auto", "settings", "fleet")},
		},
		Action: check,
	})
}

func check(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return usageError("check takes at least one FILE")
	}
	var problems []error
	for _, file := range c.Args().Slice() {
		if err := checkFile(file, c.String("as")); err != nil {
			problems = append(problems, err)
			continue
		}
		printLine(c, "%s: good", file)
	}
	if len(problems) > 0 {
		return fmt.Errorf("refused:\n%w", errors.Join(problems...))
	}
	return nil
}

func checkFile(file, kind string) error {
	info, err := os.Stat(file)
	if err != nil {
		return err
	}
	if info.IsDir() {
		_, _, err := jayconfig.ReadPath(file)
		return err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if kind == "settings" || kind == "auto" && jayoptions.LooksLikeSettings(text) {
		_, err := jayoptions.Parse(file, text)
		return err
	}
	_, err = jayconfig.Parse(file, text)
	return err
}
