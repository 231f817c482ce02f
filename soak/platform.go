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
	appendTimeout = 2 * time.Second
	pageRecords   = 1000
	// lateMax is how long after its lost answer an append may take effect.
	lateMax = 5 * time.Second
)

var (
	errLogDown    = errors.Mark(errors.New("log service is down"), logclient.ErrNotAppended)
	errNoResponse = errors.New("no response from the log service")
)

// fakeLog is the claims stream of the platform's log service.
type fakeLog struct {
	world   *world
	records []logclient.Record
	// down refuses, slow delays; lose drops answers of appends that take
	// effect, late ones at some time after the answer was lost.
	down, slow, lose, late bool
}

func (l *fakeLog) write(data []byte) uint64 {
	offset := uint64(len(l.records) + 1)
	l.records = append(l.records, logclient.Record{Offset: offset, Time: l.world.now, Data: data})
	return offset
}

// append takes a batch of an entry and answers it, or not, as the faults say.
func (l *fakeLog) append(n *entryNode, batch claims.Batch) {
	w := l.world
	core, at := n.core, n.process
	answer := func(delay time.Duration, offset uint64, err error) {
		w.after(delay, "appended "+at.name, func() { at.do(func() { core.Appended(batch.Nonce, offset, err) }) })
	}
	delay := w.duration(time.Millisecond, 8*time.Millisecond)
	if l.slow {
		delay = w.duration(50*time.Millisecond, 1500*time.Millisecond)
	}
	unreachable := at.cut
	w.after(delay, "append "+at.name, func() {
		switch {
		case l.down:
			answer(0, 0, errLogDown)
		case unreachable || l.lose && w.chance(50):
			if l.late && w.chance(50) {
				w.after(w.duration(appendTimeout, lateMax), "late append", func() { l.write(batch.Data) })
			} else if !unreachable || w.chance(50) {
				l.write(batch.Data)
			}
			answer(appendTimeout, 0, errNoResponse)
		default:
			answer(time.Millisecond, l.write(batch.Data), nil)
		}
	})
}

// poll gives an entry the records that it has not read.
func (l *fakeLog) poll(n *entryNode) {
	if l.down || n.cut {
		return
	}
	from, atOnce := n.core.NextClaim()
	next := uint64(len(l.records) + 1)
	if from >= next && !atOnce {
		return
	}
	page := logclient.Page{First: 1, Next: next}
	for offset := from; offset < next && len(page.Records) < pageRecords; offset++ {
		page.Records = append(page.Records, l.records[offset-1])
	}
	core, at := n.core, n.process
	l.world.after(time.Millisecond, "page "+at.name, func() { at.do(func() { core.ClaimRecords(page) }) })
}

// Ways in which the fake target ends a task, in percent.
const (
	failPercent   = 3
	refusePercent = 2
	hangPercent   = 1
)

// runTask is the fake target: it records the start and ends the task later. The
// start itself takes effect although the agent may die before it hears of it.
func (w *world) runTask(n *agentNode, call target.Call, done func(target.Result)) func() {
	at := n.process
	ended := false
	finish := func(result target.Result) {
		if !ended {
			ended = true
			at.do(func() { done(result) })
		}
	}
	started := w.now
	w.after(w.duration(100*time.Microsecond, time.Millisecond), "start "+at.name, func() {
		if ended {
			return
		}
		plan, planned := planOf(call.Input)
		refuse, fail, runTime := w.chance(refusePercent), w.chance(failPercent), w.taskTime(call)
		if planned {
			refuse, fail, runTime = plan.End == job.NotStarted, plan.End == job.Failed, milliseconds(*plan.MS)
		}
		if refuse {
			finish(target.Result{NotStarted: true})
			return
		}
		w.oracle.started(n, call)
		w.after(runTime, "end "+at.name, func() {
			took := w.now.Sub(started)
			if fail {
				finish(target.Result{Outcome: job.Failed, Error: "failed", Took: took})
				return
			}
			finish(target.Result{Outcome: job.OK, Output: taskOutput(call.Key, call.Index), Took: took})
		})
		w.after(call.Budget, "timeout "+at.name, func() {
			finish(target.Result{Outcome: job.Timeout, Took: call.Budget})
		})
	})
	return func() {
		w.after(0, "cancel "+at.name, func() { finish(target.Result{Outcome: job.Cancelled}) })
	}
}

func (w *world) taskTime(call target.Call) time.Duration {
	if w.chance(hangPercent) {
		return call.Budget + time.Hour
	}
	if w.chance(2) {
		return w.duration(2*time.Second, 6*time.Second)
	}
	return w.duration(20*time.Millisecond, 400*time.Millisecond)
}

// taskOutput is the right output of a task; the oracle expects it.
func taskOutput(key job.KeyHash, index int) []byte {
	return fmt.Appendf(nil, `"%s/%d"`, key, index)
}
