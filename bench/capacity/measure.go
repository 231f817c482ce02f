package capacity

import (
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Options select the measurements of a run.
type Options struct {
	// Repeats is how often each size is measured.
	Repeats int
	// Connections are the sizes of the measurements over QUIC. MaxConnections
	// bounds them.
	Connections []int
	// Watch is the real time for which connections are watched.
	Watch time.Duration
	// KeyDir is a directory for the keys of the connections.
	KeyDir string
}

// MaxConnections bounds the connections that one process opens for a
// measurement; each has two ends and a socket here.
const MaxConnections = 400

// Part is one group of measurements.
type Part struct {
	Name string
	Run  func(Options) ([]Figure, error)
}

// Parts lists every group.
func Parts() []Part {
	return []Part{
		{"entry", entryFigures},
		{"claims", claimFigures},
		{"quota", quotaFigures},
		{"config", configFigures},
		{"agent", agentFigures},
		{"traffic", trafficFigures},
		{"loss", lossFigures},
		{"messages", messageFigures},
		{"http", httpFigures},
		{"push", pushFigures},
		{"quic", quicFigures},
	}
}

// liveBytes returns the heap in use after a collection and the memory of
// goroutine stacks. Two collections run, because the first only moves pooled
// values to the second generation of their pool.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// processorTime returns the processor time of this process so far, with that of
// the garbage collector.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // only a wrong argument fails
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// bytesOf measures the live bytes that hold adds at each size.
func (o Options) bytesOf(name, per string, sizes []int, hold func(size int) (held any, err error)) (Figure, error) {
	f := Figure{Name: name, Unit: "B", Per: per}
	for _, size := range o.repeated(sizes) {
		before := liveBytes()
		held, err := hold(size)
		if err != nil {
			return f, errors.Wrapf(err, "%s at size %d", name, size)
		}
		f.Points = append(f.Points, Point{float64(size), liveBytes() - before})
		runtime.KeepAlive(held)
	}
	return f, nil
}

// timeOf measures the processor time of the function that prepare returns, in
// microseconds divided by rounds.
func (o Options) timeOf(name, per string, sizes []int, rounds float64, prepare func(size int) (func() error, error)) (Figure, error) {
	f := Figure{Name: name, Unit: "µs", Per: per}
	for _, size := range o.repeated(sizes) {
		work, err := prepare(size)
		if err != nil {
			return f, errors.Wrapf(err, "%s at size %d", name, size)
		}
		runtime.GC()
		before := processorTime()
		if err := work(); err != nil {
			return f, errors.Wrapf(err, "%s at size %d", name, size)
		}
		took := processorTime() - before
		f.Points = append(f.Points, Point{float64(size), float64(took) / float64(time.Microsecond) / rounds})
	}
	return f, nil
}

// repeated lists every size as often as it is to be measured, in rounds, so that
// a slow spell of the machine does not fall on one size alone.
func (o Options) repeated(sizes []int) []int {
	var list []int
	for range max(1, o.Repeats) {
		list = append(list, sizes...)
	}
	return list
}

// collect runs measurements until one fails.
func collect(measurements ...func() (Figure, error)) ([]Figure, error) {
	var figures []Figure
	for _, measure := range measurements {
		f, err := measure()
		if err != nil {
			return figures, err
		}
		figures = append(figures, f)
	}
	return figures, nil
}
