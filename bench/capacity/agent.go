package capacity

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/target"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/agent"
	"github.com/azurerouter/azurerouter/process/fencing"
	"github.com/azurerouter/azurerouter/request/job"
)

const (
	agentTickInterval = 50 * time.Millisecond
	// dispatchingEntries is the number of entries that dispatch to the agent of
	// a harness. The agent accepts 4,096 open sequences from each.
	dispatchingEntries = 8
)

// agentHarness is an agent core whose target ends its tasks when run asks for it.
type agentHarness struct {
	now             time.Time
	core            *agent.Core
	running         []func(target.Result)
	answers         int
	violations      int
	lastSeqs        map[wire.Incarnation]uint64
	unreleased      map[wire.Incarnation][]uint64
	tasksDispatched int
}

func newAgentHarness(entries int) *agentHarness {
	h := &agentHarness{now: epoch, lastSeqs: make(map[wire.Incarnation]uint64), unreleased: make(map[wire.Incarnation][]uint64)}
	h.core = agent.NewCore(h, agent.Options{Incarnation: agentID(0), Slots: ampleSlots, Backlog: 2, Limits: fencing.DefaultLimits})
	for i := range entries {
		h.core.Connected(entryID(i))
	}
	return h
}

// entryID returns the incarnation of the entry with this index.
func entryID(i int) wire.Incarnation { return wire.Incarnation(1 + i) }

// Now implements agent.Env.
func (h *agentHarness) Now() time.Time { return h.now }

// Send implements agent.Env.
func (h *agentHarness) Send(_ wire.Incarnation, m wire.Message) {
	if a, ok := m.(*wire.Answers); ok {
		h.answers += len(a.Tasks)
	}
}

// Disconnect implements agent.Env.
func (h *agentHarness) Disconnect(wire.Incarnation) { h.violations++ }

// CallTarget implements agent.Env.
func (h *agentHarness) CallTarget(_ target.Call, done func(target.Result)) func() {
	h.running = append(h.running, done)
	return func() {}
}

// ReportConfigError implements agent.Env.
func (h *agentHarness) ReportConfigError(wire.Incarnation, error) { h.violations++ }

// ReportViolation implements agent.Env.
func (h *agentHarness) ReportViolation(_, _, _, _ string) { h.violations++ }

// run dispatches tasks one at a time, from the entries in turn, and ends each with
// success. If release is set, each dispatch releases the earlier results of its
// entry.
func (h *agentHarness) run(tasks int, release bool) error {
	for range tasks {
		h.tasksDispatched++
		from := entryID(h.tasksDispatched % dispatchingEntries)
		h.lastSeqs[from]++
		task := wire.DispatchTask{Seq: h.lastSeqs[from], Count: 1, Attempt: 1, BudgetMS: 30_000, Input: bytes.Clone(payload)}
		task.Key[0], task.Key[1], task.Key[2], task.Key[3] = byte(h.tasksDispatched), byte(h.tasksDispatched>>8), byte(h.tasksDispatched>>16), byte(from)
		d := &wire.Dispatch{Agent: agentID(0), Entry: from, Tasks: []wire.DispatchTask{task}}
		if release {
			d.Released = h.unreleased[from]
			h.unreleased[from] = []uint64{task.Seq}
		}
		h.core.Received(from, d)
		for _, done := range h.running {
			done(target.Result{Outcome: job.OK, Output: bytes.Clone(payload), Duration: 100 * time.Millisecond})
		}
		h.running = h.running[:0]
	}
	return h.check()
}

// check returns an error if the core has reported a violation, or has not answered
// every task.
func (h *agentHarness) check() error {
	if h.violations > 0 || h.answers != h.tasksDispatched {
		return errors.Newf("%d violations, %d answers of %d dispatches", h.violations, h.answers, h.tasksDispatched)
	}
	return nil
}

// releaseAll releases every result and advances the time past the retention.
func (h *agentHarness) releaseAll() {
	for from, seqs := range h.unreleased {
		h.core.Received(from, &wire.Heartbeat{Released: seqs})
		h.unreleased[from] = nil
	}
	h.advance(fencing.DefaultLimits.ResultRetention+time.Second, dispatchingEntries)
}

// advance ticks the core for a virtual time while the entries send heartbeats.
func (h *agentHarness) advance(duration time.Duration, entries int) {
	const heartbeatInterval = 500 * time.Millisecond
	for passed := time.Duration(0); passed < duration; passed += agentTickInterval {
		if passed%heartbeatInterval == 0 {
			for i := range entries {
				h.core.Received(entryID(i), &wire.Heartbeat{})
			}
		}
		h.now = h.now.Add(agentTickInterval)
		h.core.Tick()
	}
}

func measureAgent(o Options) ([]Measurement, error) {
	return collect(
		func() (Measurement, error) {
			return o.measureBytes("agent: heap per entry link", "entry", []int{500, 1000, 2000, 4000},
				func(n int) (any, error) { return newAgentHarness(n), nil })
		},
		func() (Measurement, error) {
			return o.measureBytes("agent: heap per held result", "result", []int{2000, 4000, 8000, 16000}, func(n int) (any, error) {
				h := newAgentHarness(dispatchingEntries)
				return h, h.run(n, false)
			})
		},
		func() (Measurement, error) {
			return o.measureBytes("agent: heap per settled sequence", "sequence", []int{4000, 8000, 16000, 32000}, func(n int) (any, error) {
				h := newAgentHarness(dispatchingEntries)
				err := h.run(n, true)
				h.releaseAll()
				return h, err
			})
		},
		func() (Measurement, error) {
			return o.measureCPUTime("agent: processor time per task", "task", []int{5000, 10000, 20000, 40000}, 1, func(n int) (func() error, error) {
				h := newAgentHarness(dispatchingEntries)
				return func() error { return h.run(n, true) }, nil
			})
		},
		func() (Measurement, error) {
			const duration = 100 * time.Second
			return o.measureCPUTime("agent: processor time per idle second", "entry", []int{8, 16, 32, 64}, duration.Seconds(),
				func(n int) (func() error, error) {
					h := newAgentHarness(n)
					return func() error { h.advance(duration, n); return h.check() }, nil
				})
		},
	)
}
