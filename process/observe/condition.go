package observe

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Condition reports a lasting fault, for example an unreachable log service. It
// logs only its start and its end, however often the fault is observed meanwhile.
// It is safe for concurrent use.
type Condition struct {
	observer *Observer
	name     string
	active   tally.Gauge

	mu sync.Mutex
	// since is the start of the condition, or zero while it is not active.
	since time.Time
	// occurrences counts the calls of Begin since then.
	occurrences int
}

// Condition returns a condition that is not active. name appears in the log and
// as the tag TagCondition of the metric ConditionActive.
func (o *Observer) Condition(name string) *Condition {
	gauge := o.Metrics.Tagged(map[string]string{TagCondition: name}).Gauge(ConditionActive)
	gauge.Update(0)
	return &Condition{observer: o, name: name, active: gauge}
}

// Begin reports that the condition is active. Only the first call since the last
// End is logged, with its cause.
func (c *Condition) Begin(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.occurrences++
	if !c.since.IsZero() {
		return
	}
	c.since = time.Now()
	c.active.Update(1)
	c.observer.Log.Warn().Err(cause).Str("condition", c.name).Msg("condition started")
}

// End reports that the condition is not active. Only the first call since the last
// Begin is logged, with the duration of the condition and the number of calls of
// Begin.
func (c *Condition) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() {
		return
	}
	c.observer.Log.Info().Str("condition", c.name).Dur("lasted_ms", time.Since(c.since)).
		Int("occurrences", c.occurrences).Msg("condition ended")
	c.since, c.occurrences = time.Time{}, 0
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
