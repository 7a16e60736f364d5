package main

import (
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	barWidth       = 10 // points
	plotWidth      = 28 * vg.Centimeter
	plotHeight     = 12 * vg.Centimeter
	minPlotSeconds = 0.01 // lower end of the axis; a logarithmic axis needs positive values
)

// plot writes one PNG of the median detection times per service.
func (r *report) plot(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	for si, s := range services {
		if err := plotService(r.Cells[si], s, filepath.Join(directory, "detection-"+s.Name+".png")); err != nil {
			return err
		}
	}
	return nil
}

func plotService(cells [][]cell, s service, path string) error {
	p := plot.New()
	p.Title.Text = "Median detection time, " + s.Deployment + " / " + s.Name + " (40 s: not detected)"
	p.Y.Label.Text = "seconds"
	var ticks plot.ConstantTicks
	for _, t := range []float64{0.01, 0.1, 1, 10, horizon.Seconds()} {
		ticks = append(ticks, plot.Tick{Value: barHeight(t), Label: strconv.FormatFloat(t, 'g', -1, 64)})
	}
	p.Y.Tick.Marker = ticks
	p.Legend.Top = true
	var labels []string
	for di, name := range detectorNames {
		var values plotter.Values
		labels = labels[:0]
		for fi, f := range faults {
			if f.Harmless {
				continue
			}
			labels = append(labels, strings.ReplaceAll(f.Name, " ", "\n"))
			values = append(values, barHeight(cells[fi][di].P50))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(di)
		bars.Offset = vg.Points(barWidth * float64(di-1))
		bars.LineStyle.Width = 0
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(labels...)
	p.X.Min, p.X.Max = -0.5, float64(len(labels))-0.5
	return p.Save(plotWidth, plotHeight, path)
}

// barHeight returns the height of a bar on the logarithmic axis.
func barHeight(seconds float64) float64 {
	return math.Log10(max(seconds, minPlotSeconds) / minPlotSeconds)
}
