package dispatch_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/standin/executor"
)

// jobKind describes the jobs of one queue of the payout ledger.
type jobKind struct {
	name     string
	weight   float64
	tasks    int
	work     time.Duration
	priority int
}

// ledgerKinds have the proportions of the ledger service: few long and many short
// jobs, with tasks of about 3.1 cores.
var ledgerKinds = []jobKind{
	{"check", 34.4, 8, 60 * time.Millisecond, 0},
	{"confirm", 6.25, 4, 900 * time.Millisecond, 2},
	{"line", 100, 2, 200 * time.Millisecond, 1},
}

// ledgerCapacity is the number of jobs a second that nine targets of 32 cores can
// run: a job takes 0.58 s of 3.1 cores on average.
const ledgerCapacity = 9 * 32000 / 3100 / 0.58

// outcome counts the jobs of one kind by result.
type outcome struct {
	submitted, inTime, late, refused, refusedPromptly int
}

// runLedgerLoad submits jobs of all kinds at a rate for the duration and returns
// the outcome of each kind.
func runLedgerLoad(c *cluster, d time.Duration, perSecond float64) map[string]*outcome {
	return outcomesOf(submitLedgerJobs(c, d, perSecond))
}

// submitLedgerJobs submits jobs of all kinds at a rate for the duration, waits for
// their results and returns their callers.
func submitLedgerJobs(c *cluster, d time.Duration, perSecond float64) []*caller {
	var total float64
	for _, k := range ledgerKinds {
		total += k.weight
	}
	var callers []*caller
	for end := c.now.Add(d); c.now.Before(end); c.step() {
		for _, k := range ledgerKinds {
			if c.random.Float64() >= perSecond*k.weight/total/1000 {
				continue
			}
			work := time.Duration(float64(k.work) * (0.6 + 0.8*c.random.Float64()))
			s := c.submission(k.name, k.tasks, work, 2500+c.random.IntN(1200), k.priority)
			// Estimates of callers are off by up to 40 %.
			s.Job.Steps[0].Estimate = time.Duration(float64(work) * (0.6 + 0.8*c.random.Float64()))
			callers = append(callers, c.call(s, c.random.IntN(len(c.entries))))
		}
	}
	c.run(6 * time.Second)
	return callers
}

func outcomesOf(callers []*caller) map[string]*outcome {
	outcomes := make(map[string]*outcome)
	for _, k := range callers {
		o := outcomes[k.submission.Queue]
		if o == nil {
			o = &outcome{}
			outcomes[k.submission.Queue] = o
		}
		o.add(k)
	}
	return outcomes
}

func (o *outcome) add(k *caller) {
	o.submitted++
	switch {
	case k.result == nil:
	case k.completedInTime():
		o.inTime++
	case k.result.Code == dispatch.Completed:
		o.late++
	case k.result.Code == dispatch.NotRun:
		o.refused++
		if k.took <= k.submission.Objective/2 {
			o.refusedPromptly++
		}
	}
}

func (k *caller) completedInTime() bool {
	return k.result != nil && k.result.Code == dispatch.Completed && k.took <= k.submission.Objective
}

func totalOf(outcomes map[string]*outcome) (all outcome) {
	for _, o := range outcomes {
		all.submitted += o.submitted
		all.inTime += o.inTime
		all.late += o.late
		all.refused += o.refused
		all.refusedPromptly += o.refusedPromptly
	}
	return all
}

// Guards against an overload in which late jobs take the room of jobs that can be
// in time, callers are refused only late, or one kind of job is not served. The
// load is one and a half times what the targets can run, so at best two thirds can
// be in time.
func TestOverloadServesJobsThatCanBeInTime(t *testing.T) {
	c := newCluster(t, 5, 3, equalRooms(9, 32000))
	c.run(500 * time.Millisecond)
	outcomes := runLedgerLoad(c, 5*time.Second, 1.5*ledgerCapacity)
	all := totalOf(outcomes)
	t.Logf("all: %+v", all)
	for name, o := range outcomes {
		t.Logf("%s: %+v", name, *o)
		if share := float64(o.inTime) / float64(o.submitted); share < 0.35 {
			t.Errorf("%s: %.2f in time, expected 0.35 or more", name, share)
		}
	}
	if share := float64(all.inTime) / float64(all.submitted); share < 0.55 {
		t.Errorf("%.2f in time, expected 0.55 or more", share)
	}
	if share := float64(all.late) / float64(all.submitted); share > 0.1 {
		t.Errorf("%.2f late, expected 0.1 or less", share)
	}
	if share := float64(all.refusedPromptly) / float64(all.refused); share < 0.75 {
		t.Errorf("%.2f of the refusals within half of the objective, expected 0.75 or more", share)
	}
}

// Guards against refusals while there is room: at 80 % of what the targets can run
// nearly all jobs complete in time.
func TestHighLoadIsServed(t *testing.T) {
	c := newCluster(t, 6, 3, equalRooms(9, 32000))
	c.run(500 * time.Millisecond)
	all := totalOf(runLedgerLoad(c, 5*time.Second, 0.8*ledgerCapacity))
	t.Logf("all: %+v", all)
	if share := float64(all.inTime) / float64(all.submitted); share < 0.9 {
		t.Errorf("%.2f in time, expected 0.9 or more", share)
	}
}

// Guards against jobs that are refused right after a restart of all processes,
// before the first target is known.
func TestJobsWaitForTheFirstTarget(t *testing.T) {
	c := newCluster(t, 7, 1, equalRooms(2, 16000))
	for _, l := range c.links {
		l.cut = true
	}
	var callers []*caller
	for range 5 {
		callers = append(callers, c.call(c.submission("line", 2, 200*time.Millisecond, 1000, 1), 0))
		c.run(20 * time.Millisecond)
	}
	c.run(300 * time.Millisecond)
	for _, l := range c.links {
		l.cut = false
	}
	c.run(time.Second)
	for _, k := range callers {
		if k.result == nil || k.result.Code != dispatch.Completed {
			t.Errorf("result %+v after %v, expected %s", k.result, k.took, dispatch.Completed)
		}
	}
}

// Guards against jobs that are delayed by lost answers of targets: a start that is
// not soon repeated, or ends that are not received while one call hangs.
func TestLostAnswersDelayLittle(t *testing.T) {
	c := newCluster(t, 8, 3, equalRooms(9, 32000))
	c.run(500 * time.Millisecond)
	c.lostAnswerShare = 0.06
	all := totalOf(runLedgerLoad(c, 5*time.Second, 0.6*ledgerCapacity))
	t.Logf("all: %+v", all)
	if share := float64(all.inTime) / float64(all.submitted); share < 0.95 {
		t.Errorf("%.2f in time, expected 0.95 or more", share)
	}
}

// Guards against jobs that are late or unanswered because one target is slow,
// fails or hangs while its own reports show no fault.
func TestFaultyTargetsAreAvoided(t *testing.T) {
	faulty := map[string]func(*executor.Executor){
		"slow":  func(e *executor.Executor) { e.SlowFactor = 8 },
		"fails": func(e *executor.Executor) { e.FailAll = true },
		"hangs": func(e *executor.Executor) { e.Hang = true },
	}
	for name, inject := range faulty {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 9, 3, equalRooms(9, 32000))
			c.run(500 * time.Millisecond)
			inject(c.agents[4].executor)
			all := totalOf(runLedgerLoad(c, 5*time.Second, 0.6*ledgerCapacity))
			t.Logf("all: %+v", all)
			if share := float64(all.inTime) / float64(all.submitted); share < 0.975 {
				t.Errorf("%.3f in time, expected 0.975 or more", share)
			}
			if answered := all.inTime + all.late + all.refused; answered != all.submitted {
				t.Errorf("%d of %d callers have an answer", answered, all.submitted)
			}
		})
	}
}
