// Package routing holds one version of the routing configuration: which queue a
// request belongs to and which service runs its tasks. It is pure.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Queue is where the jobs of one host and path prefix go.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// PathPrefix ends before the job's ID.
	PathPrefix string `cbor:"3,keyasint"`
	Service    string `cbor:"4,keyasint"`
	// Priority orders queues; 0 comes first.
	Priority int `cbor:"5,keyasint,omitempty"`
	// MaxAttempts is how many failed runs of a task fail its job.
	MaxAttempts int `cbor:"6,keyasint"`
	// Stretch times the longest chain of work plus TargetLatency is the
	// latency objective of a job.
	Stretch       float64       `cbor:"7,keyasint"`
	TargetLatency time.Duration `cbor:"8,keyasint"`
	// Timeout bounds a request of a caller who names no deadline.
	Timeout time.Duration `cbor:"9,keyasint"`
	// Advised queues need tickets of an advisory service for each start.
	Advised bool `cbor:"10,keyasint,omitempty"`
}

// Service is a pool of targets.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// GuardsRoom is whether targets refuse what does not fit.
	GuardsRoom bool `cbor:"2,keyasint,omitempty"`
}

// Limits bound a request of a caller.
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

// Table answers which queue a request belongs to. It is immutable.
type Table struct {
	Config
	byHost map[string][]Queue
}

// NewTable indexes a configuration.
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

// Lookup returns the queue with the longest prefix of the path, and the rest of
// the path.
func (t *Table) Lookup(host, path string) (queue Queue, rest string, found bool) {
	for _, queue := range t.byHost[host] {
		if rest, ok := strings.CutPrefix(path, queue.PathPrefix); ok {
			return queue, rest, true
		}
	}
	return Queue{}, "", false
}
