package jayaccount

import (
	"fmt"
	"io"

	svg "github.com/ajstarks/svgo"
)

// Dimensions of the plot in pixels: the width of a second, the height above the
// axis and the margins. plotGrid is the distance between grid lines in instances or
// jobs, and between labels of the time axis in seconds.
const (
	plotSecond = 14
	plotHeight = 360
	plotMargin = 50
	plotGrid   = 10
)

const (
	styleText  = "font-family:sans-serif;font-size:12px"
	styleGrid  = "stroke:#dddddd"
	styleLate  = "fill:#d62728;fill-opacity:0.5"
	styleNeed  = "fill:none;stroke:#1f77b4;stroke-width:2"
	styleOn    = "fill:none;stroke:#2ca02c;stroke-width:2"
	styleOff   = "fill:none;stroke:#7f7f7f;stroke-dasharray:4"
	stylePaper = "fill:white"
)

// WritePlot draws the needed instances, the instances that are on and off, and the
// late jobs of each second as SVG.
func (a Account) WritePlot(out io.Writer) {
	most := float64(plotGrid)
	for _, r := range a.Seconds {
		most = max(most, r.Need, r.On, r.Off, float64(r.Late))
	}
	y := func(v float64) int { return plotMargin + plotHeight - int(v/most*plotHeight) }
	x := func(n int) int { return plotMargin + n*plotSecond }
	width := x(len(a.Seconds)) + plotMargin
	canvas := svg.New(out)
	canvas.Start(width, plotHeight+2*plotMargin)
	canvas.Rect(0, 0, width, plotHeight+2*plotMargin, stylePaper)
	for v := 0; v <= int(most); v += plotGrid {
		height := y(float64(v))
		canvas.Line(plotMargin, height, width-plotMargin, height, styleGrid)
		canvas.Text(plotMargin/4, height, fmt.Sprint(v), styleText)
	}
	var xs, need, on, off []int
	for n, r := range a.Seconds {
		if n%plotGrid == 0 {
			canvas.Text(x(n), y(0)+plotMargin/2, fmt.Sprint(r.Second, " s"), styleText)
		}
		canvas.Rect(x(n), y(float64(r.Late)), plotSecond, y(0)-y(float64(r.Late)), styleLate)
		xs = append(xs, x(n))
		need = append(need, y(r.Need))
		on = append(on, y(r.On))
		off = append(off, y(r.Off))
	}
	canvas.Polyline(xs, need, styleNeed)
	canvas.Polyline(xs, on, styleOn)
	canvas.Polyline(xs, off, styleOff)
	canvas.Text(plotMargin, plotMargin/2, "instances needed (blue), on (green), off (dashed); jobs submitted that second and done late (red)", styleText)
	canvas.End()
}
