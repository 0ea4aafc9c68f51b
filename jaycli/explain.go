package jaycli

import (
	"context"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"jaythread/jayapi"
	"jaythread/jayconfig"
)

func explainCommand() *cli.Command {
	return command(&cli.Command{
		Name:        "explain",
		Usage:       "say which rule decides on a request, and why the earlier ones do not",
		ArgsUsage:   "PATH",
		Description: "Example: jaythread explain --method POST --caller nursing /fees/pay\nWith --fleet the rules of a file or directory are asked instead of those in force.",
		Flags: operatorFlags(
			&cli.StringFlag{Name: "method", Value: "GET", Usage: "`METHOD` of the request"},
			&cli.StringFlag{Name: "caller", Usage: "`NAME` of the caller"},
			&cli.StringSliceFlag{Name: "header", Usage: "a `NAME=VALUE` of the request"},
			&cli.StringFlag{Name: "time", Usage: "`HH:MM` in the configuration's time zone; default is now"},
			&cli.StringFlag{Name: "fleet", Usage: "ask the rules of this `DIR|FILE`"},
		),
		Action: explain,
	})
}

func explain(_ context.Context, c *cli.Command) error {
	path, err := oneArgument(c, "one PATH")
	if err != nil {
		return err
	}
	query := jayapi.Explain{
		Method: c.String("method"),
		Path:   path,
		Caller: c.String("caller"),
		Header: map[string]string{},
		Time:   c.String("time"),
	}
	for _, pair := range c.StringSlice("header") {
		name, value, found := strings.Cut(pair, "=")
		if !found {
			return usageError("--header takes NAME=VALUE, not %q", pair)
		}
		query.Header[name] = value
	}
	explained, err := explainRequest(c, query)
	if err != nil {
		return err
	}
	return show(c, explained, func(p *printer) {
		for _, t := range explained.Traces {
			if t.Matched {
				p.row(t.Rule, "decides:", explained.Action)
				continue
			}
			p.row(t.Rule, "does not match:", t.Why)
		}
		if explained.Rule == "" {
			p.row(explained.Action)
		}
	})
}

func explainRequest(c *cli.Command, query jayapi.Explain) (*jayapi.Explained, error) {
	fleet := c.String("fleet")
	if fleet == "" {
		return operatorClient(c).Explain(query)
	}
	config, _, err := jayconfig.ReadPath(fleet)
	if err != nil {
		return nil, err
	}
	return jayapi.ExplainRequest(config, query, time.Now())
}
