package soak

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/target"
	"github.com/azurerouter/azurerouter/process/claims"
	"github.com/azurerouter/azurerouter/request/job"
)

const (
	// appendTimeout is when an entry gives up waiting for the answer to an append.
	appendTimeout = 2 * time.Second
	// pageRecords is the number of records per read.
	pageRecords = 1000
	// lateAppendMax is the longest time from the request to the effect of an
	// append whose answer was lost. The shortest is appendTimeout.
	lateAppendMax = 5 * time.Second
)

var (
	errLogDown    = errors.Mark(errors.New("log service is down"), logclient.ErrNotAppended)
	errNoResponse = errors.New("no response from the log service")
)

// fakeLog is a fake of the log service that holds the claims stream.
type fakeLog struct {
	sim     *simulation
	records []logclient.Record
	// down refuses appends and stops reads; slow delays appends; loseAnswers
	// drops the answers of some appends that take effect; with appendLate some
	// of these take effect only after the entry stopped waiting for the answer.
	down, slow, loseAnswers, appendLate bool
}

// write appends a record and returns its offset.
func (l *fakeLog) write(data []byte) uint64 {
	offset := uint64(len(l.records) + 1)
	l.records = append(l.records, logclient.Record{Offset: offset, Time: l.sim.now, Data: data})
	return offset
}

// append handles an append of an entry according to the active faults.
func (l *fakeLog) append(n *entryNode, batch claims.Batch) {
	sim := l.sim
	core, proc := n.core, n.process
	answer := func(delay time.Duration, offset uint64, err error) {
		sim.after(delay, "appended "+proc.name, func() { proc.handle(func() { core.HandleAppendResult(batch.Nonce, offset, err) }) })
	}
	delay := sim.randomDuration(time.Millisecond, 8*time.Millisecond)
	if l.slow {
		delay = sim.randomDuration(50*time.Millisecond, 1500*time.Millisecond)
	}
	unreachable := proc.partitioned
	sim.after(delay, "append "+proc.name, func() {
		switch {
		case l.down:
			answer(0, 0, errLogDown)
		case unreachable || l.loseAnswers && sim.chance(50):
			// No answer. If the entry is partitioned, the request may be lost
			// as well.
			if l.appendLate && sim.chance(50) {
				sim.after(sim.randomDuration(appendTimeout, lateAppendMax), "late append", func() { l.write(batch.Data) })
			} else if !unreachable || sim.chance(50) {
				l.write(batch.Data)
			}
			answer(appendTimeout, 0, errNoResponse)
		default:
			answer(time.Millisecond, l.write(batch.Data), nil)
		}
	})
}

// poll passes the records that an entry has not read to the entry.
func (l *fakeLog) poll(n *entryNode) {
	if l.down || n.partitioned {
		return
	}
	from, immediately := n.core.NextClaimOffset()
	next := uint64(len(l.records) + 1)
	if from >= next && !immediately {
		return
	}
	page := logclient.Page{First: 1, Next: next}
	for offset := from; offset < next && len(page.Records) < pageRecords; offset++ {
		page.Records = append(page.Records, l.records[offset-1])
	}
	core, proc := n.core, n.process
	l.sim.after(time.Millisecond, "page "+proc.name, func() { proc.handle(func() { core.ClaimRecords(page) }) })
}

// Shares of tasks that fail, are refused or hang at the fake target, in percent.
const (
	failPercent   = 3
	refusePercent = 2
	hangPercent   = 1
)

// runTask is the fake target. It records the start of a task and ends the task
// later. The start takes effect even if the agent dies before it receives a
// result. The returned function cancels the task.
func (sim *simulation) runTask(n *agentNode, call target.Call, done func(target.Result)) func() {
	proc := n.process
	ended := false
	finish := func(result target.Result) {
		if !ended {
			ended = true
			proc.handle(func() { done(result) })
		}
	}
	calledAt := sim.now
	sim.after(sim.randomDuration(100*time.Microsecond, time.Millisecond), "start "+proc.name, func() {
		if ended {
			return
		}
		plan, hasPlan := parseTaskPlan(call.Input)
		refuse, fail, runTime := sim.chance(refusePercent), sim.chance(failPercent), sim.taskTime(call)
		if hasPlan {
			refuse, fail, runTime = plan.End == job.NotStarted, plan.End == job.Failed, milliseconds(*plan.MS)
		}
		if refuse {
			finish(target.Result{NotStarted: true})
			return
		}
		sim.oracle.recordStart(n, call)
		sim.after(runTime, "end "+proc.name, func() {
			took := sim.now.Sub(calledAt)
			if fail {
				finish(target.Result{Outcome: job.Failed, Error: "failed", Duration: took})
				return
			}
			finish(target.Result{Outcome: job.OK, Output: taskOutput(call.Key, call.Index), Duration: took})
		})
		sim.after(call.Budget, "timeout "+proc.name, func() {
			finish(target.Result{Outcome: job.Timeout, Duration: call.Budget})
		})
	})
	return func() {
		sim.after(0, "cancel "+proc.name, func() { finish(target.Result{Outcome: job.Cancelled}) })
	}
}

// taskTime returns a random run time: hanging tasks exceed their budget, and 2 % of
// the others are slow.
func (sim *simulation) taskTime(call target.Call) time.Duration {
	if sim.chance(hangPercent) {
		return call.Budget + time.Hour
	}
	if sim.chance(2) {
		return sim.randomDuration(2*time.Second, 6*time.Second)
	}
	return sim.randomDuration(20*time.Millisecond, 400*time.Millisecond)
}

// taskOutput returns the output that the fake target gives to a task and that the
// oracle expects.
func taskOutput(key job.KeyHash, index int) []byte {
	return fmt.Appendf(nil, `"%s/%d"`, key, index)
}
