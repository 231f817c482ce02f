package runonce

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// rule names a rule that a scenario can break.
type rule string

// Values of rule.
const (
	// twoRuns: two runs of the task at the same time on targets that are up.
	twoRuns rule = "two runs at the same time"
	// startAfterEnd: a start after a run has ended done, if that end counts.
	startAfterEnd rule = "start after an end that counts"
	// overBudget: a start after so many failed ends that count.
	overBudget rule = "start beyond the attempts"
)

type violation struct {
	rule rule
	text string
}

// oracle records what the targets see. An end counts if it is acknowledged and the lease of
// its target has not lapsed in between.
type oracle struct {
	world       *world
	starts      []event
	ends        []*event
	overlap     string
	submittedAt time.Time
	// lastActivity is when a run last was alive.
	lastActivity time.Time
	mu           sync.Mutex
	trace        []string
}

// event is the start or the end of a run.
type event struct {
	run    batch.Run
	target string
	end    batch.End
	at     time.Time
	counts bool
}

// watch records what happens at a target after its start.
func (o *oracle) watch(t *target) {
	id := t.executor.ID
	t.executor.OnStart = func(run batch.Run) {
		if run.Task.Job != jobID {
			return
		}
		o.starts = append(o.starts, event{run: run, target: id, at: now()})
		o.log("%s starts run %d", id, run.Number)
		if late := o.world.late; late != nil {
			late.noteStart()
		}
	}
	t.executor.OnEnd = func(run batch.Run, end batch.End) {
		if run.Task.Job != jobID {
			return
		}
		o.ends = append(o.ends, &event{run: run, target: id, end: end, at: now()})
		o.log("%s ends run %d: %s", id, run.Number, end)
		if late := o.world.late; late != nil {
			late.noteEnd(end)
		}
	}
	t.executor.OnAcknowledged = func(run batch.Run, end batch.End) {
		if run.Task.Job != jobID {
			return
		}
		for _, e := range o.ends {
			if e.run == run && e.target == id && e.end == end {
				e.counts = true
			}
		}
		o.log("%s: end %s of run %d counts", id, end, run.Number)
	}
}

// checkOverlap looks for two runs of the task at the same time.
func (o *oracle) checkOverlap() {
	var alive []string
	for _, t := range o.world.targets {
		for _, run := range t.running() {
			alive = append(alive, fmt.Sprintf("run %d at %s", run.Number, t.executor.ID))
		}
	}
	if len(alive) > 0 {
		o.lastActivity = now()
	}
	if len(alive) > 1 && o.overlap == "" {
		o.overlap = fmt.Sprintf("%v: %s", o.elapsed(), strings.Join(alive, ", "))
		o.log("TWO RUNS: %s", o.overlap)
	}
}

func (o *oracle) violations() []violation {
	var found []violation
	if o.overlap != "" {
		found = append(found, violation{twoRuns, o.overlap})
	}
	if !o.world.scenario.durable {
		return found
	}
	for _, s := range o.starts {
		failed := 0
		for _, e := range o.ends {
			if !o.countsBefore(e, s) {
				continue
			}
			if e.end == batch.EndFailed {
				failed++
			}
			if e.end == batch.EndDone {
				found = append(found, violation{startAfterEnd, fmt.Sprintf("run %d at %s at %v, after run %d had ended at %v", s.run.Number, s.target, o.since(s.at), e.run.Number, o.since(e.at))})
			}
		}
		if failed >= o.world.submission().MaxAttempts {
			found = append(found, violation{overBudget, fmt.Sprintf("run %d at %s at %v", s.run.Number, s.target, o.since(s.at))})
		}
	}
	return found
}

// countsBefore reports whether an end counts and came before a start. Without a disruption
// it counts even if it is not acknowledged.
func (o *oracle) countsBefore(end *event, start event) bool {
	if o.world.scenario.calm() && start.at.Sub(end.at) > endCountsAfter {
		return true
	}
	return end.counts && end.at.Before(start.at)
}

// endCountsAfter is how long after an end it counts without a disruption.
const endCountsAfter = 100 * time.Millisecond

func (o *oracle) elapsed() time.Duration { return o.since(now()) }

// since returns a time as the time since the submission of the job.
func (o *oracle) since(t time.Time) time.Duration { return t.Sub(o.submittedAt) }

func (o *oracle) log(format string, args ...any) {
	if !o.world.scenario.trace {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.trace = append(o.trace, fmt.Sprintf("%8v ", o.elapsed())+fmt.Sprintf(format, args...))
}

// note adds a decision of a process to the trace.
func (o *oracle) note(process string, d decision.Decision) {
	if !o.world.scenario.trace {
		return
	}
	o.log("  %s: %s %s %s run %d age %v %v", process, d.Step, d.Outcome, d.Reason, d.Run.Number, d.Age, d.Inputs)
}
