package report

import (
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sliphead/internal/fault"
	"sliphead/lab/load"
)

// The size of a plot and the position of its legend.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter

	legendMargin = 4 * vg.Millimeter
	legendShare  = 0.3 // space below zero for the legend, as a share of the largest value
)

// series is a named line of a plot.
type series struct {
	name   string
	points plotter.XYs
}

// Draw draws the plots of the report in a directory into it and returns the paths of
// the files. The format is svg or png.
func Draw(directory, format string) ([]string, error) {
	lines, err := Read(directory)
	if err != nil {
		return nil, err
	}
	figures := []struct {
		file, title, x, y string
		series            []series
	}{
		{"convergence", "Convergence of changes", "time since publication, ms", "share of nodes with the version in force", convergenceSeries(lines)},
		{"latency", "Latency of answered requests, from the intended start", "latency, ms", "share of requests", latencySeries(lines)},
		{"endings", "How requests ended", "time since the first request, s", "requests per second", endingSeries(lines)},
	}
	var written []string
	for _, figure := range figures {
		if len(figure.series) == 0 {
			continue
		}
		path := filepath.Join(directory, figure.file+"."+format)
		if err := draw(path, figure.title, figure.x, figure.y, figure.series); err != nil {
			return written, err
		}
		written = append(written, path)
	}
	return written, nil
}

func draw(path, title, x, y string, all []series) error {
	figure := plot.New()
	figure.Title.Text = title
	figure.X.Label.Text = x
	figure.Y.Label.Text = y
	figure.X.Min, figure.Y.Min = 0, 0
	figure.Legend.XOffs = -legendMargin
	figure.Legend.YOffs = legendMargin
	figure.Add(plotter.NewGrid())
	for index, each := range all {
		line, err := plotter.NewLine(each.points)
		if err != nil {
			return fault.Wrap(err, fault.Internal, "report this defect", "draw %s", each.name)
		}
		line.Color = plotutil.Color(index)
		line.Dashes = plotutil.Dashes(index)
		line.Width = vg.Points(1.5)
		figure.Add(line)
		figure.Legend.Add(each.name, line)
	}
	figure.Y.Min = -legendShare * figure.Y.Max
	err := figure.Save(plotWidth, plotHeight, path)
	return fault.Wrap(err, fault.Settings, "choose a directory that can be written", "write %s", path)
}

func convergenceSeries(lines []Line) []series {
	values := map[string][]float64{}
	for _, line := range lines {
		if line.Sample != nil {
			values[line.Sample.Mesh] = append(values[line.Sample.Mesh], inMilliseconds(line.Sample.Convergence))
		}
	}
	return distributions(values)
}

func latencySeries(lines []Line) []series {
	values := map[string][]float64{}
	for _, line := range lines {
		if line.Attempt != nil && line.Attempt.Ending == load.EndingAnswered {
			values[line.Attempt.Class] = append(values[line.Attempt.Class], inMilliseconds(line.Attempt.Latency))
		}
	}
	return distributions(values)
}

// distributions returns the cumulative distribution of each set of values, sorted by name.
func distributions(values map[string][]float64) []series {
	var all []series
	for _, name := range sortedKeys(values) {
		sorted := slices.Sorted(slices.Values(values[name]))
		points := make(plotter.XYs, 0, len(sorted))
		for index, value := range sorted {
			points = append(points, plotter.XY{X: value, Y: float64(index+1) / float64(len(sorted))})
		}
		all = append(all, series{name: name, points: points})
	}
	return all
}

func endingSeries(lines []Line) []series {
	first, last := intendedStarts(lines)
	seconds := max(1, int(last.Sub(first)/time.Second)) // without the last, incomplete second
	perSecond := map[string][]float64{}
	for _, line := range lines {
		if line.Attempt == nil {
			continue
		}
		name := string(line.Attempt.Ending)
		if perSecond[name] == nil {
			perSecond[name] = make([]float64, seconds)
		}
		if second := int(line.Attempt.Start.Sub(first) / time.Second); second < seconds {
			perSecond[name][second]++
		}
	}
	var all []series
	for _, name := range sortedKeys(perSecond) {
		points := make(plotter.XYs, 0, seconds)
		for second, count := range perSecond[name] {
			points = append(points, plotter.XY{X: float64(second), Y: count})
		}
		all = append(all, series{name: name, points: points})
	}
	return all
}

// intendedStarts returns the first and last intended start of all attempts.
func intendedStarts(lines []Line) (first, last time.Time) {
	for _, line := range lines {
		if line.Attempt == nil {
			continue
		}
		start := line.Attempt.Start
		if first.IsZero() || start.Before(first) {
			first = start
		}
		if start.After(last) {
			last = start
		}
	}
	return first, last
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func inMilliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
