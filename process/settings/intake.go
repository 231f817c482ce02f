package settings

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/azurerouter/azurerouter/connection/intake"
)

const (
	// environmentShare is the share that GOMEMLIMIT is taken to be of the memory of an instance.
	environmentShare = 0.8
	// defaultDescriptors is the limit of file descriptors if the system does not tell it.
	defaultDescriptors = 1024
)

// InstanceMemory returns the memory of the instance in bytes: the setting, or what the
// environment variable GOMEMLIMIT of the Go runtime implies, or a default.
func (e *Entry) InstanceMemory() int64 {
	if e.InstanceMemoryMB > 0 {
		return e.InstanceMemoryMB << 20
	}
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		return int64(float64(limit) / environmentShare)
	}
	return intake.DefaultMemory
}

// IntakeLimits returns the bounds for the clients of the process.
func (e *Entry) IntakeLimits() intake.Limits {
	descriptors := defaultDescriptors
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		descriptors = int(min(limit.Cur, maxPorts))
	}
	return intake.DeriveLimits(e.InstanceMemory(), descriptors)
}
