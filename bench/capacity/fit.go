// Package capacity measures the memory, processor time and traffic that one more
// connection, job, claim or message costs an entry, an agent or a connection. It
// runs the real cores against fakes of their environment and fits a line through
// the values at several sizes. Its slope is the cost of one more unit, from which
// other sizes can be extrapolated.
package capacity

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Point is the value that one run measured at a size.
type Point struct{ Size, Value float64 }

// LineFit is a least-squares line. StandardError is that of the slope.
type LineFit struct{ Slope, StandardError, Intercept float64 }

// Measurement holds the values of one quantity at several sizes.
type Measurement struct {
	// Name is the measured quantity, Unit the unit of the values and Per the
	// thing that the sizes count.
	Name, Unit, Per string
	Points          []Point
}

// FitLine fits a line through the points by least squares. The standard error is
// infinite for fewer than three points.
func FitLine(points []Point) LineFit {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.Size / n
		meanY += p.Value / n
	}
	var sumXX, sumXY float64
	for _, p := range points {
		sumXX += (p.Size - meanX) * (p.Size - meanX)
		sumXY += (p.Size - meanX) * (p.Value - meanY)
	}
	line := LineFit{Slope: sumXY / sumXX, StandardError: math.Inf(1)}
	line.Intercept = meanY - line.Slope*meanX
	if n < 3 {
		return line
	}
	var residuals float64
	for _, p := range points {
		r := p.Value - line.Intercept - line.Slope*p.Size
		residuals += r * r
	}
	line.StandardError = math.Sqrt(residuals / (n - 2) / sumXX)
	return line
}

// Fit returns the least-squares line through the points of the measurement.
func (f Measurement) Fit() LineFit { return FitLine(f.Points) }

// Write prints the slope of the measurement, its standard error, the intercept and
// the sizes. It returns the error of the writer.
func (f Measurement) Write(w io.Writer) error {
	line := f.Fit()
	_, err := fmt.Fprintf(w, "%-46s %s %s per %s, standard error %s, intercept %s; sizes %s\n",
		f.Name, formatNumber(line.Slope), f.Unit, f.Per, formatNumber(line.StandardError), formatNumber(line.Intercept), f.formatSizes())
	return err
}

func formatNumber(v float64) string { return fmt.Sprintf("%.4g", v) }

// formatSizes lists the distinct sizes and the number of runs of each.
func (f Measurement) formatSizes() string {
	var distinct []string
	runs := make(map[string]int)
	for _, p := range f.Points {
		size := fmt.Sprintf("%g", p.Size)
		if runs[size]++; runs[size] == 1 {
			distinct = append(distinct, size)
		}
	}
	return fmt.Sprintf("%s (%d runs)", strings.Join(distinct, " "), len(f.Points))
}
