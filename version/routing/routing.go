// Package routing holds one version of the routing configuration: which queue a
// request belongs to and which service runs its tasks. It has no side effects and
// reads no clock.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Queue receives the jobs that are submitted under one host and path prefix.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// PathPrefix is the part of the path before the job's ID.
	PathPrefix string `cbor:"3,keyasint"`
	Service    string `cbor:"4,keyasint"`
	// Priority is the priority of the queue; 0 is the highest.
	Priority int `cbor:"5,keyasint,omitempty"`
	// MaxAttempts is the number of failed runs of one task after which its job
	// fails.
	MaxAttempts int `cbor:"6,keyasint"`
	// LatencyFactor is a factor of the latency objective of a job, which is the
	// factor times the job's CriticalPath, plus TargetLatency.
	LatencyFactor float64       `cbor:"7,keyasint"`
	TargetLatency time.Duration `cbor:"8,keyasint"`
	// Timeout bounds a request without a deadline.
	Timeout time.Duration `cbor:"9,keyasint"`
	// RequiresTicket is set if each start needs a ticket from an advisory service.
	RequiresTicket bool `cbor:"10,keyasint,omitempty"`
}

// Service is a pool of targets.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// EnforcesCapacity is set if targets refuse runs that exceed their free
	// resources.
	EnforcesCapacity bool `cbor:"2,keyasint,omitempty"`
}

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint"`
	BodyBytes     int           `cbor:"2,keyasint"`
	HeaderTimeout time.Duration `cbor:"3,keyasint"`
	IdleTimeout   time.Duration `cbor:"4,keyasint"`
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64    `cbor:"1,keyasint"`
	Queues   []Queue   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
}

// Table is an index of a configuration that finds the queue of a request. It is
// immutable.
type Table struct {
	Config
	byHost map[string][]Queue
}

// NewTable returns the index of a configuration.
func NewTable(c Config) *Table {
	t := &Table{Config: c, byHost: make(map[string][]Queue)}
	for _, queue := range c.Queues {
		t.byHost[queue.Host] = append(t.byHost[queue.Host], queue)
	}
	for _, queues := range t.byHost {
		slices.SortStableFunc(queues, func(a, b Queue) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// Lookup returns the queue of the host with the longest prefix of the path, and
// the rest of the path.
func (t *Table) Lookup(host, path string) (queue Queue, rest string, found bool) {
	for _, queue := range t.byHost[host] {
		if rest, ok := strings.CutPrefix(path, queue.PathPrefix); ok {
			return queue, rest, true
		}
	}
	return Queue{}, "", false
}
