package observe

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Condition logs a repeating condition, for example an unreachable log
// service, only when it starts and when it ends. It is safe for concurrent
// use.
type Condition struct {
	observer *Observer
	name     string
	active   tally.Gauge

	mu      sync.Mutex
	since   time.Time
	repeats int
}

// Condition returns a condition that is not active. The name appears in the
// log and as TagCondition of ConditionActive.
func (o *Observer) Condition(name string) *Condition {
	gauge := o.Metrics.Tagged(map[string]string{TagCondition: name}).Gauge(ConditionActive)
	gauge.Update(0)
	return &Condition{observer: o, name: name, active: gauge}
}

// Begin states that the condition holds. Only the first call since the last
// End is logged, with its cause.
func (c *Condition) Begin(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.repeats++
	if !c.since.IsZero() {
		return
	}
	c.since = time.Now()
	c.active.Update(1)
	c.observer.Log.Warn().Err(cause).Str("condition", c.name).Msg("condition started")
}

// End states that the condition does not hold. Only the first call since
// Begin is logged, with the duration and the number of calls of Begin.
func (c *Condition) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() {
		return
	}
	c.observer.Log.Info().Str("condition", c.name).Dur("lasted_ms", time.Since(c.since)).
		Int("occurrences", c.repeats).Msg("condition ended")
	c.since, c.repeats = time.Time{}, 0
	c.active.Update(0)
}

// Set calls Begin for an error and End for nil.
func (c *Condition) Set(err error) {
	if err != nil {
		c.Begin(err)
		return
	}
	c.End()
}
