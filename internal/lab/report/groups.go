package report

import (
	"bytes"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Bars are the bars of one kind in a chart of groups, one in each.
type BarSeries struct {
	Name            string
	Values, StdErrs []float64 // standard errors
}

// Groups draws groups of bars with their standard errors as an SVG document.
func GroupedBarChart(y string, groups []string, bars []BarSeries) ([]byte, error) {
	p := newPlot("", y)
	p.Y.Min = 0
	const width = 16.0
	for n, b := range bars {
		shift := vg.Points(width * (float64(n) - float64(len(bars)-1)/2))
		chart, err := plotter.NewBarChart(plotter.Values(b.Values), vg.Points(width-2))
		if err != nil {
			return nil, err
		}
		chart.Color, _, _ = style(n)
		chart.LineStyle.Width = 0
		chart.Offset = shift
		p.Add(chart)
		p.Legend.Add(b.Name, chart)
		p.Add(&whiskers{b, shift})
	}
	p.Legend.Top = true
	p.Y.Max = 1.25 // room for the legend
	p.NominalX(groups...)
	c := vgsvg.New(vg.Points(760), vg.Points(300))
	p.Draw(draw.New(c))
	var out bytes.Buffer
	_, err := c.WriteTo(&out)
	return out.Bytes(), err
}

// whiskers draw the standard errors of bars that stand beside their places.
type whiskers struct {
	BarSeries
	shift vg.Length
}

// Plot implements plot.Plotter.
func (w *whiskers) Plot(c draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&c)
	for i, e := range w.StdErrs {
		at := x(float64(i)) + w.shift
		c.StrokeLine2(draw.LineStyle{Color: color.Black, Width: vg.Points(1)}, at, y(w.Values[i]-e), at, y(w.Values[i]+e))
	}
}
