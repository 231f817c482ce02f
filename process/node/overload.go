package node

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/azurerouter/azurerouter/process/clock"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/process/overload"
	"github.com/azurerouter/azurerouter/process/runqueue"
	"github.com/azurerouter/azurerouter/request/batch"
)

var (
	errOverloaded      = errors.New("lacks processor time, requests are rejected")
	errShedsSubmission = errors.New("the processor time does not suffice for all requests")
)

// loadShedder rejects submissions while the entry lacks the processor time for them.
type loadShedder struct {
	guard     *overload.Guard
	decisions decision.Recorder
	condition *observe.Condition
	shed      tally.Counter
	waits     *runqueue.Meter
	// onVerdict is called with each verdict.
	onVerdict func(now time.Time, v overload.Verdict)
}

func newLoadShedder(cores float64, o *observe.Observer, decisions decision.Recorder) *loadShedder {
	return &loadShedder{guard: overload.NewGuard(cores), decisions: decisions, condition: o.Condition("overloaded"), shed: o.Metrics.Counter(observe.SubmissionsShed),
		waits: runqueue.NewMeter()}
}

// observe takes a pass that was late by delay into account, and logs a change of the
// decision with its inputs.
func (l *loadShedder) observe(now time.Time, delay time.Duration) {
	v, changed := l.guard.Observe(overload.Sample{Now: now, Used: processorTime(), Delay: delay, Waits: l.waits.Read()})
	if l.onVerdict != nil {
		l.onVerdict(now, v)
	}
	if !changed {
		return
	}
	outcome := "ended"
	l.condition.Set(nil)
	if v.Limited {
		outcome = "began"
		l.condition.Begin(errors.Wrapf(errShedsSubmission, "passes %d ms late on average", v.MeanDelay.Milliseconds()))
	}
	l.decisions.Record(decision.Decision{Step: "overload", Outcome: outcome, Inputs: []decision.Input{
		{Name: "mean_delay_ms", Value: v.MeanDelay.Milliseconds()}, {Name: "mean_wait_us", Value: v.MeanWait.Microseconds()}, {Name: "use_percent", Value: int64(100 * v.Use)},
		{Name: "admitted_per_s", Value: int64(v.Admitted)}, {Name: "limit_per_s", Value: int64(v.Limit)},
		{Name: "rejected", Value: int64(v.Rejected)}}})
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		// The call fails only for an invalid argument.
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// CanCarry reports whether the entry has the processor time for a submission, of which only
// the identity, the queue and the prior wait need be known. A job that may run or have run, here or
// at another entry, is never rejected for lack of processor time: the caller would be told
// that it has not run.
func (e *Entry) CanCarry(s batch.Submission) bool {
	guard := e.shedder.guard
	if !guard.Limited() || e.MayBeKnown(s) {
		guard.Count()
		return true
	}
	if guard.Admit(clock.Now()) {
		return true
	}
	e.shedder.shed.Inc(1)
	return false
}

// Limited reports whether the entry rejects submissions for lack of processor time.
func (e *Entry) Limited() bool { return e.shedder.guard.Limited() }

// MayBeKnown reports whether the job may have been submitted before, here or elsewhere.
func (e *Entry) MayBeKnown(s batch.Submission) bool {
	return e.Core.LooksResubmitted(s) || e.Core.KnowsJob(s.Job.ID) || e.keeper.JobState(s.Job.ID) != dispatch.DurableUnknown
}
