// Package report draws what a run left as one self-contained HTML page: tables, and charts as SVG inside it.
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

// palette is told apart by eyes that do not see red and green, too (Okabe and Ito, 2008).
var palette = []color.RGBA{
	{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {230, 159, 0, 255}, {86, 180, 233, 255},
	{90, 90, 90, 255}, {148, 103, 189, 255},
}

// dashes tell the lines of one colour apart.
var dashes = [][]vg.Length{nil, {vg.Points(6), vg.Points(3)}, {vg.Points(2), vg.Points(2)}}

// line is one line of a chart.
type line struct {
	Name string
	XYs  plotter.XYs
}

// Key is a line of a legend. It stands beside the chart as HTML, so it never covers a line.
type LegendEntry struct {
	Name        string
	Colour      template.CSS
	BorderStyle string // of the swatch's border
}

// Chart is a drawn chart.
type Chart struct {
	Title      string
	Note       string
	SVG        template.HTML
	Legend     []LegendEntry
	BandLegend []LegendEntry
}

// Band is a span of time with a name, drawn behind the lines.
type Band struct {
	From, To float64
	Name     string
}

var bandColours = []color.RGBA{{240, 190, 110, 255}, {140, 190, 230, 255}, {190, 150, 210, 255}, {140, 200, 140, 255}, {230, 140, 140, 255},
	{180, 180, 180, 255}, {205, 175, 140, 255}, {110, 200, 200, 255}, {220, 220, 110, 255}, {235, 160, 200, 255}}

func css(c color.RGBA) template.CSS { return template.CSS(fmt.Sprintf("rgb(%d,%d,%d)", c.R, c.G, c.B)) }

// style is the look of the n-th line.
func style(n int) (color.RGBA, []vg.Length, string) {
	d := n / len(palette) % len(dashes)
	return palette[n%len(palette)], dashes[d], []string{"solid", "dashed", "dotted"}[d]
}

// timeChart draws lines over the seconds of a run, with its troubles as bands.
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
	// Troubles overlap, so each has a strip of its own above the lines; below it the band is only tinted.
	high := p.Y.Max
	lane := high * 0.045
	p.Y.Max += lane * float64(len(bands))
	for n, b := range bands {
		colour := bandColours[n%len(bandColours)]
		tint := color.NRGBA{150, 150, 150, 22}
		from := high + lane*float64(n)
		for _, area := range []struct {
			low, top float64
			c        color.Color
		}{{0, high, tint}, {from + lane*0.15, from + lane, colour}} {
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
	return finish(p, c, lines)
}

// spreadChart draws latency by percentile: the further right, the rarer.
func spreadChart(title, note string, l line) (Chart, error) {
	p := newPlot("percentile", "latency (ms)")
	p.X.Scale = plot.LogScale{}
	p.X.Min = 1
	last := 10.0
	for _, xy := range l.XYs {
		last = math.Max(last, xy.X)
	}
	p.X.Max = last
	var ticks []plot.Tick
	for _, t := range []struct {
		at   float64
		name string
	}{{1, "0"}, {2, "50"}, {10, "90"}, {100, "99"}, {1000, "99.9"}, {10000, "99.99"}, {100000, "99.999"}} {
		if t.at <= last {
			ticks = append(ticks, plot.Tick{Value: t.at, Label: t.name})
		}
	}
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	return finish(p, Chart{Title: title, Note: note}, []line{l})
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
	return finish(p, Chart{Title: title, Note: note}, nil)
}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.X.Label.TextStyle.Font.Size, p.Y.Label.TextStyle.Font.Size = vg.Points(12), vg.Points(12)
	p.X.Label.Padding, p.Y.Label.Padding = vg.Points(6), vg.Points(6)
	return p
}

func finish(p *plot.Plot, c Chart, lines []line) (Chart, error) {
	for n, l := range lines {
		if len(l.XYs) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.XYs)
		if err != nil {
			return c, err
		}
		colour, dash, border := style(n)
		drawn.Color, drawn.Width, drawn.Dashes = colour, vg.Points(1.4), dash
		p.Add(drawn)
		if l.Name != "" {
			c.Legend = append(c.Legend, LegendEntry{Name: l.Name, Colour: css(colour), BorderStyle: border})
		}
	}
	canvas := vgsvg.New(vg.Points(780), vg.Points(270))
	// Labels of the last ticks reach beyond the axes.
	p.Draw(draw.Crop(draw.New(canvas), 0, -vg.Points(26), 0, -vg.Points(6)))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return c, err
	}
	text := b.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 {
		text = text[at:] // the XML declaration has no place inside HTML
	}
	c.SVG = template.HTML(text)
	return c, nil
}
