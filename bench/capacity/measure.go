package capacity

import (
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Options are the parameters of the measurements.
type Options struct {
	// RunsPerSize is how often each size is measured; less than 1 means once.
	RunsPerSize int
	// Connections are the sizes of the measurements over QUIC, each at most
	// MaxConnections.
	Connections []int
	// ObserveDuration is the real time over which the traffic and the processor
	// time of open connections are measured.
	ObserveDuration time.Duration
	// KeyDir is the directory to which the keys of the connections are written.
	KeyDir string
}

// MaxConnections is the largest number of connections that a measurement opens.
// Both ends of each, and its socket, are in this process.
const MaxConnections = 400

// Part is a group of measurements that is selected by its name.
type Part struct {
	Name string
	// Run returns the measurements up to the first that fails, and its error.
	Run func(Options) ([]Measurement, error)
}

// Parts returns every group, in the order in which they run.
func Parts() []Part {
	return []Part{
		{"entry", measureEntry},
		{"claims", measureClaims},
		{"quota", measureQuota},
		{"config", measureConfig},
		{"agent", measureAgent},
		{"traffic", measureTraffic},
		{"loss", measureLoss},
		{"messages", measureMessages},
		{"http", measureHTTP},
		{"push", measurePush},
		{"quic", measureQUIC},
	}
}

// liveBytes returns the heap in use after a garbage collection plus the memory of
// goroutine stacks. Two collections run, because the first one only moves the
// values of a sync.Pool to its victim cache.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpuTime returns the processor time that this process has used so far, including
// the garbage collector.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // fails only for an invalid argument
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureBytes measures, for each size, the growth of liveBytes while the value
// that build returns is in use.
func (o Options) measureBytes(name, per string, sizes []int, build func(size int) (built any, err error)) (Measurement, error) {
	f := Measurement{Name: name, Unit: "B", Per: per}
	for _, size := range o.repeatSizes(sizes) {
		before := liveBytes()
		built, err := build(size)
		if err != nil {
			return f, errors.Wrapf(err, "%s at size %d", name, size)
		}
		f.Points = append(f.Points, Point{float64(size), liveBytes() - before})
		runtime.KeepAlive(built)
	}
	return f, nil
}

// measureCPUTime measures, for each size, the processor time of the function that
// prepare returns, in microseconds divided by rounds.
func (o Options) measureCPUTime(name, per string, sizes []int, rounds float64, prepare func(size int) (func() error, error)) (Measurement, error) {
	f := Measurement{Name: name, Unit: "µs", Per: per}
	for _, size := range o.repeatSizes(sizes) {
		run, err := prepare(size)
		if err != nil {
			return f, errors.Wrapf(err, "%s at size %d", name, size)
		}
		runtime.GC()
		before := cpuTime()
		if err := run(); err != nil {
			return f, errors.Wrapf(err, "%s at size %d", name, size)
		}
		used := cpuTime() - before
		f.Points = append(f.Points, Point{float64(size), float64(used) / float64(time.Microsecond) / rounds})
	}
	return f, nil
}

// repeatSizes returns the list of sizes RunsPerSize times over, so that the runs
// of a size are spread in time and a slow period of the machine affects all sizes.
func (o Options) repeatSizes(sizes []int) []int {
	var list []int
	for range max(1, o.RunsPerSize) {
		list = append(list, sizes...)
	}
	return list
}

// collect runs the functions until one fails, and returns the measurements so far.
func collect(measurements ...func() (Measurement, error)) ([]Measurement, error) {
	var results []Measurement
	for _, measure := range measurements {
		f, err := measure()
		if err != nil {
			return results, err
		}
		results = append(results, f)
	}
	return results, nil
}
