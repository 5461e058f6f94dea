// Package report renders the results of runs as one self-contained HTML page with tables and embedded SVG charts.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// palette holds colours that are distinguishable with red-green colour blindness, too (Okabe and Ito, 2008).
var palette = []color.RGBA{
	{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {230, 159, 0, 255}, {86, 180, 233, 255},
	{90, 90, 90, 255}, {148, 103, 189, 255},
}

// dashes distinguish lines of the same colour.
var dashes = [][]vg.Length{nil, {vg.Points(6), vg.Points(3)}, {vg.Points(2), vg.Points(2)}}

// line is a named line of a chart.
type line struct {
	Name string
	XYs  plotter.XYs
}

// LegendEntry is an entry of a legend. The legend is HTML outside the chart, so it never covers a line.
type LegendEntry struct {
	Name        string
	Colour      template.CSS
	BorderStyle string // of the swatch's border
}

// Chart is a rendered chart with its legends.
type Chart struct {
	Title      string
	Note       string
	SVG        template.HTML
	Legend     []LegendEntry
	BandLegend []LegendEntry
}

// Band is a named interval of time, in seconds, drawn behind the lines.
type Band struct {
	From, To float64
	Name     string
}

var bandColours = []color.RGBA{{240, 190, 110, 255}, {140, 190, 230, 255}, {190, 150, 210, 255}, {140, 200, 140, 255}, {230, 140, 140, 255},
	{180, 180, 180, 255}, {205, 175, 140, 255}, {110, 200, 200, 255}, {220, 220, 110, 255}, {235, 160, 200, 255}}

func css(c color.RGBA) template.CSS { return template.CSS(fmt.Sprintf("rgb(%d,%d,%d)", c.R, c.G, c.B)) }

// lineStyle returns the colour, the dashes and the CSS border style of the n-th line.
func lineStyle(n int) (color.RGBA, []vg.Length, string) {
	d := n / len(palette) % len(dashes)
	return palette[n%len(palette)], dashes[d], []string{"solid", "dashed", "dotted"}[d]
}

// timeChart draws lines over the seconds of a run, with its faults as bands.
func timeChart(title, note, y string, lines []line, bands []Band, end float64) (Chart, error) {
	p := newPlot("time since the start (s)", y)
	p.X.Min, p.X.Max = 0, math.Max(end, 1)
	top := 0.0
	for _, l := range lines {
		for _, xy := range l.XYs {
			top = math.Max(top, xy.Y)
		}
	}
	p.Y.Min, p.Y.Max = 0, math.Max(top*1.05, 1e-9)
	if top == 0 {
		p.Y.Max = 1
	}
	c := Chart{Title: title, Note: note}
	// Faults overlap, so each has its own strip above the lines; below the strips the band is only tinted.
	linesTop := p.Y.Max
	strip := linesTop * 0.045
	p.Y.Max += strip * float64(len(bands))
	for n, b := range bands {
		colour := bandColours[n%len(bandColours)]
		tint := color.NRGBA{150, 150, 150, 22}
		stripFrom := linesTop + strip*float64(n)
		for _, area := range []struct {
			low, top float64
			c        color.Color
		}{{0, linesTop, tint}, {stripFrom + strip*0.15, stripFrom + strip, colour}} {
			box, err := plotter.NewPolygon(plotter.XYs{{X: b.From, Y: area.low}, {X: b.To, Y: area.low}, {X: b.To, Y: area.top}, {X: b.From, Y: area.top}})
			if err != nil {
				return c, err
			}
			box.Color, box.LineStyle.Width = area.c, 0
			p.Add(box)
		}
		c.BandLegend = append(c.BandLegend, LegendEntry{Name: fmt.Sprintf("%s, %.0f to %.0f s", b.Name, b.From, b.To), Colour: css(colour)})
	}
	p.Add(plotter.NewGrid())
	return render(p, c, lines)
}

// percentileChart draws latency by percentile, on a logarithmic axis of 1/(1-percentile/100).
func percentileChart(title, note string, l line) (Chart, error) {
	p := newPlot("percentile", "latency (ms)")
	p.X.Scale = plot.LogScale{}
	p.X.Min = 1
	xMax := 10.0
	for _, xy := range l.XYs {
		xMax = math.Max(xMax, xy.X)
	}
	p.X.Max = xMax
	var ticks []plot.Tick
	for _, t := range []struct {
		at   float64
		name string
	}{{1, "0"}, {2, "50"}, {10, "90"}, {100, "99"}, {1000, "99.9"}, {10000, "99.99"}, {100000, "99.999"}} {
		if t.at <= xMax {
			ticks = append(ticks, plot.Tick{Value: t.at, Label: t.name})
		}
	}
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	return render(p, Chart{Title: title, Note: note}, []line{l})
}

// barChart draws one bar for each name.
func barChart(title, note, x, y string, names []string, values []float64) (Chart, error) {
	p := newPlot(x, y)
	bars, err := plotter.NewBarChart(plotter.Values(values), vg.Points(34))
	if err != nil {
		return Chart{}, err
	}
	bars.Color, bars.LineStyle.Width = palette[0], 0
	p.Add(bars)
	p.NominalX(names...)
	p.Y.Min = 0
	return render(p, Chart{Title: title, Note: note}, nil)
}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.X.Label.TextStyle.Font.Size, p.Y.Label.TextStyle.Font.Size = vg.Points(12), vg.Points(12)
	p.X.Label.Padding, p.Y.Label.Padding = vg.Points(6), vg.Points(6)
	return p
}

// render adds the lines to the plot and their names to the legend, and draws the plot as SVG.
func render(p *plot.Plot, c Chart, lines []line) (Chart, error) {
	for n, l := range lines {
		if len(l.XYs) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.XYs)
		if err != nil {
			return c, err
		}
		colour, dash, border := lineStyle(n)
		drawn.Color, drawn.Width, drawn.Dashes = colour, vg.Points(1.4), dash
		p.Add(drawn)
		if l.Name != "" {
			c.Legend = append(c.Legend, LegendEntry{Name: l.Name, Colour: css(colour), BorderStyle: border})
		}
	}
	canvas := vgsvg.New(vg.Points(780), vg.Points(270))
	// The labels of the last ticks extend beyond the axes.
	p.Draw(draw.Crop(draw.New(canvas), 0, -vg.Points(26), 0, -vg.Points(6)))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return c, err
	}
	text := b.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 {
		text = text[at:] // an XML declaration is not allowed inside HTML
	}
	c.SVG = template.HTML(text)
	return c, nil
}
