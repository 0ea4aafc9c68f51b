package jaycli

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// show prints a value as JSON if the output flag selects it, and as text by the
// given function otherwise.
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

// printer prints rows of aligned columns.
type printer struct {
	table *tabwriter.Writer
}

// row adds one row with the given cells.
func (p *printer) row(cells ...any) {
	for n, cell := range cells {
		if n > 0 {
			_, _ = fmt.Fprint(p.table, "\t")
		}
		_, _ = fmt.Fprint(p.table, cell)
	}
	_, _ = fmt.Fprintln(p.table)
}

// printLine prints a formatted line to standard output.
func printLine(c *cli.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(c.Root().Writer, format+"\n", args...)
}
