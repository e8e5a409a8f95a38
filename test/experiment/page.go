package main

import (
	"bytes"
	"fmt"
	"html/template"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/savoryfold/savoryfold/internal/load"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>savoryfold: {{.Title}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .8em;text-align:left}.missed{color:#a00}</style></head>
<body><h1>{{.Title}}</h1>
<table><tr><th>policy</th><th>figure</th><th>value</th><th>unit</th><th>target</th><th>held</th></tr>
{{range .Figures}}<tr{{if .Missed}} class="missed"{{end}}><td>{{.Policy}}</td><td>{{.Name}}</td><td>{{printf "%.4g" .Value}}</td><td>{{.Unit}}</td><td>{{.Target}}</td><td>{{.HeldText}}</td></tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}
{{end}}</body></html>
`))

type page struct {
	Title   string
	Figures []figure
	Plots   []svgPlot
}

type svgPlot struct {
	Title string
	SVG   template.HTML
}

// Missed reports whether the figure's target did not hold.
func (f figure) Missed() bool { return f.Held != nil && !*f.Held }

// HeldText returns whether the figure's target held, or "" without a target.
func (f figure) HeldText() string {
	switch {
	case f.Held == nil:
		return ""
	case *f.Held:
		return "held"
	}
	return "missed"
}

// writePage writes one HTML page with the figures and plots of all runs.
func writePage(dir string, runs []*env) error {
	p := page{Title: fmt.Sprintf("%s, seed %d", runs[0].experiment, runs[0].seed)}
	curves := make(map[string][]series)
	for _, e := range runs {
		p.Figures = append(p.Figures, e.figures...)
		for _, s := range e.curves() {
			s.name = e.policy + ": " + s.name
			curves[s.plot] = append(curves[s.plot], s)
		}
	}
	for _, title := range slices.Sorted(maps.Keys(curves)) {
		svg, err := draw(curves[title])
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, svgPlot{title, svg})
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, p); err != nil {
		return errors.Wrap(err, "page")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "page")
	}
	return os.WriteFile(filepath.Join(dir, runs[0].experiment+".html"), out.Bytes(), 0o644)
}

// curves returns the run's own series and those of its load report.
func (e *env) curves() []series {
	out := slices.Clone(e.series)
	if e.report == nil {
		return out
	}
	curve := func(plot, name string, value func(*load.Point) float64) {
		s := series{plot: plot, name: name}
		for _, p := range e.report.Timeline {
			if p.Sent > 0 {
				s.points = append(s.points, point{p.At.Seconds(), value(p)})
			}
		}
		out = append(out, s)
	}
	curve("latency of served requests, ms", "p50", func(p *load.Point) float64 { return p.P50 })
	curve("latency of served requests, ms", "p99", func(p *load.Point) float64 { return p.P99 })
	curve("attainment over time", "attained", func(p *load.Point) float64 { return ratio(float64(p.Attained), float64(p.Sent)) })
	return out
}

// draw plots curves over the run's time in seconds and returns the SVG element.
func draw(curves []series) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "s"
	p.Legend.Top = true
	p.Y.Min = 0
	for i, s := range curves {
		points := make(plotter.XYs, len(s.points))
		for j, q := range s.points {
			points[j] = plotter.XY{X: q.x, Y: q.y}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", errors.Wrap(err, s.name)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	to, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", errors.Wrap(err, "plot")
	}
	var svg bytes.Buffer
	if _, err := to.WriteTo(&svg); err != nil {
		return "", errors.Wrap(err, "plot")
	}
	_, body, _ := bytes.Cut(svg.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(body)), nil
}
