// Package capacity measures what one more link, job, claim or message costs an
// entry, an agent and a connection. It drives the real cores through small
// fakes at their interfaces and fits a line through several sizes, so that the
// cost of other sizes can be worked out from the slope.
package capacity

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Point is one run: a size, and what was measured at that size.
type Point struct{ Size, Value float64 }

// Fit is a least-squares line. Error is the standard error of the slope.
type Fit struct{ Slope, Error, Intercept float64 }

// Figure is one measured quantity at several sizes.
type Figure struct {
	// Name says what is measured, Unit the unit of the values and Per what the
	// sizes count.
	Name, Unit, Per string
	Points          []Point
}

// Line fits a line through the points by least squares. The error is infinite
// for fewer than three points.
func Line(points []Point) Fit {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.Size / n
		meanY += p.Value / n
	}
	var sxx, sxy float64
	for _, p := range points {
		sxx += (p.Size - meanX) * (p.Size - meanX)
		sxy += (p.Size - meanX) * (p.Value - meanY)
	}
	fit := Fit{Slope: sxy / sxx, Error: math.Inf(1)}
	fit.Intercept = meanY - fit.Slope*meanX
	if n < 3 {
		return fit
	}
	var residuals float64
	for _, p := range points {
		r := p.Value - fit.Intercept - fit.Slope*p.Size
		residuals += r * r
	}
	fit.Error = math.Sqrt(residuals / (n - 2) / sxx)
	return fit
}

// Fit returns the line through the points of the figure.
func (f Figure) Fit() Fit { return Line(f.Points) }

// Write prints the slope of a figure, its standard error, its intercept and the
// sizes.
func (f Figure) Write(w io.Writer) error {
	fit := f.Fit()
	_, err := fmt.Fprintf(w, "%-46s %s %s per %s, standard error %s, intercept %s; sizes %s\n",
		f.Name, number(fit.Slope), f.Unit, f.Per, number(fit.Error), number(fit.Intercept), f.sizes())
	return err
}

func number(v float64) string { return fmt.Sprintf("%.4g", v) }

// sizes lists the distinct sizes and the number of runs of each.
func (f Figure) sizes() string {
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
