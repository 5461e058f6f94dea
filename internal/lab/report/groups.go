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

// BarSeries is a series of bars, one in each group of a grouped bar chart.
type BarSeries struct {
	Name            string
	Values, StdErrs []float64 // standard errors
}

// GroupedBarChart draws groups of bars with their standard errors as an SVG document.
func GroupedBarChart(y string, groups []string, bars []BarSeries) ([]byte, error) {
	p := newPlot("", y)
	p.Y.Min = 0
	const width = 16.0
	for n, b := range bars {
		offset := vg.Points(width * (float64(n) - float64(len(bars)-1)/2))
		chart, err := plotter.NewBarChart(plotter.Values(b.Values), vg.Points(width-2))
		if err != nil {
			return nil, err
		}
		chart.Color, _, _ = lineStyle(n)
		chart.LineStyle.Width = 0
		chart.Offset = offset
		p.Add(chart)
		p.Legend.Add(b.Name, chart)
		p.Add(&errorBars{b, offset})
	}
	p.Legend.Top = true
	p.Y.Max = 1.25 // space for the legend
	p.NominalX(groups...)
	c := vgsvg.New(vg.Points(760), vg.Points(300))
	p.Draw(draw.New(c))
	var out bytes.Buffer
	_, err := c.WriteTo(&out)
	return out.Bytes(), err
}

// errorBars draws the standard errors of a series whose bars are shifted by offset from the centres of their groups.
type errorBars struct {
	BarSeries
	offset vg.Length
}

// Plot implements plot.Plotter.
func (e *errorBars) Plot(c draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&c)
	for i, stdErr := range e.StdErrs {
		at := x(float64(i)) + e.offset
		c.StrokeLine2(draw.LineStyle{Color: color.Black, Width: vg.Points(1)}, at, y(e.Values[i]-stdErr), at, y(e.Values[i]+stdErr))
	}
}
