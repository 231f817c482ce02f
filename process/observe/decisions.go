package observe

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurerouter/azurerouter/process/decision"
)

// Decisions writes one line for each decision, up to a number of lines in each
// second. It counts what it leaves out and says so in the next second.
type Decisions struct {
	log     zerolog.Logger
	dropped tally.Counter
	// perSecond bounds all lines, routine those of requests that go as planned.
	perSecond, routine int

	mu      sync.Mutex
	second  int64
	lines   int
	plain   int
	omitted int
}

// Decisions returns a log of decisions with bounds in lines per second.
func (o *Observer) Decisions(perSecond, routine int) *Decisions {
	return &Decisions{log: o.Log, dropped: o.Metrics.Counter(DecisionsOmitted), perSecond: perSecond, routine: routine}
}

// Decided writes a decision. It does not block if the log does not.
func (d *Decisions) Decided(x decision.Decision) {
	if !d.admit(x.Routine, time.Now().Unix()) {
		d.dropped.Inc(1)
		return
	}
	event := d.log.Info().Str("step", x.Step)
	optional := func(name, value string) {
		if value != "" {
			event.Str(name, value)
		}
	}
	optional("job", string(x.Job))
	if x.Run.Number > 0 {
		event.Str("run", x.Run.String())
	}
	optional("peer", x.Peer)
	optional("outcome", x.Outcome)
	optional("reason", x.Reason)
	if x.Age != 0 {
		event.Int64("age_ms", x.Age.Milliseconds())
	}
	if x.Version != 0 {
		event.Uint64("version", x.Version)
	}
	for _, input := range x.Inputs {
		event.Int64(input.Name, input.Value)
	}
	event.Msg("decision")
}

// admit counts a line. Routine lines have a bound of their own, so that they
// never displace the others.
func (d *Decisions) admit(routine bool, second int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if second != d.second {
		if d.omitted > 0 {
			d.log.Warn().Int("omitted", d.omitted).Msg("decisions omitted")
		}
		d.second, d.lines, d.plain, d.omitted = second, 0, 0, 0
	}
	full := d.lines >= d.perSecond || (routine && d.plain >= d.routine)
	if full {
		d.omitted++
		return false
	}
	d.lines++
	if routine {
		d.plain++
	}
	return true
}
