package observe

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/azurerouter/azurerouter/process/decision"
)

// Decisions writes one log line for each decision, up to a limit per second. It
// counts the decisions that it omits and logs their number when the first decision
// of a later second arrives. It is safe for concurrent use.
type Decisions struct {
	log          zerolog.Logger
	omittedTotal tally.Counter
	// perSecond limits all lines, routinePerSecond those of routine decisions
	// (see decision.Decision).
	perSecond, routinePerSecond int

	mu sync.Mutex
	// second is the Unix time in seconds to which the following counts belong.
	second       int64
	lines        int
	routineLines int
	omitted      int
}

// Decisions returns a log of decisions. perSecond limits all lines per second,
// routine those of routine decisions.
func (o *Observer) Decisions(perSecond, routine int) *Decisions {
	return &Decisions{log: o.Log, omittedTotal: o.Metrics.Counter(DecisionsOmitted), perSecond: perSecond, routinePerSecond: routine}
}

// Record implements decision.Recorder. It does not block unless writing to the log
// does.
func (d *Decisions) Record(x decision.Decision) {
	if !d.admit(x.Routine, time.Now().Unix()) {
		d.omittedTotal.Inc(1)
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

// admit reports whether a line may be written in the given second, and counts it.
// Routine lines have a limit of their own, so that many of them leave part of the
// total for other lines.
func (d *Decisions) admit(routine bool, second int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if second != d.second {
		if d.omitted > 0 {
			d.log.Warn().Int("omitted", d.omitted).Msg("decisions omitted")
		}
		d.second, d.lines, d.routineLines, d.omitted = second, 0, 0, 0
	}
	full := d.lines >= d.perSecond || (routine && d.routineLines >= d.routinePerSecond)
	if full {
		d.omitted++
		return false
	}
	d.lines++
	if routine {
		d.routineLines++
	}
	return true
}
