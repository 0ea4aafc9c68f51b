package jaycli

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// show prints a value as JSON if asked for, and as text otherwise.
func show(c *cli.Command, value any, text func(p *printer)) error {
	if c.String("output") == "json" {
		encoder := json.NewEncoder(c.Root().Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	p := &printer{table: tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)}
	text(p)
	return p.table.Flush()
}

// printer writes columns.
type printer struct {
	table *tabwriter.Writer
}

// row writes the cells of one line.
func (p *printer) row(cells ...any) {
	for n, cell := range cells {
		if n > 0 {
			_, _ = fmt.Fprint(p.table, "\t")
		}
		_, _ = fmt.Fprint(p.table, cell)
	}
	_, _ = fmt.Fprintln(p.table)
}

func say(c *cli.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(c.Root().Writer, format+"\n", args...)
}
