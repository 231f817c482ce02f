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
	agentTick = 50 * time.Millisecond
	// senderEntries is how many entries dispatch to the agent of a rig. The
	// agent takes 4,096 open sequences from each.
	senderEntries = 8
)

// agentRig is an agent core whose target ends every task when asked.
type agentRig struct {
	now        time.Time
	core       *agent.Core
	running    []func(target.Result)
	answers    int
	violations int
	seqs       map[wire.Incarnation]uint64
	unreleased map[wire.Incarnation][]uint64
	dispatched int
}

func newAgentRig(entries int) *agentRig {
	r := &agentRig{now: epoch, seqs: make(map[wire.Incarnation]uint64), unreleased: make(map[wire.Incarnation][]uint64)}
	r.core = agent.NewCore(r, agent.Options{Incarnation: agentID(0), Slots: wideSlots, Backlog: 2, Limits: fencing.DefaultLimits})
	for i := range entries {
		r.core.Connected(entryID(i))
	}
	return r
}

func entryID(i int) wire.Incarnation { return wire.Incarnation(1 + i) }

// Now implements agent.Env.
func (r *agentRig) Now() time.Time { return r.now }

// Send implements agent.Env.
func (r *agentRig) Send(_ wire.Incarnation, m wire.Message) {
	if a, ok := m.(*wire.Answers); ok {
		r.answers += len(a.Tasks)
	}
}

// Disconnect implements agent.Env.
func (r *agentRig) Disconnect(wire.Incarnation) { r.violations++ }

// Run implements agent.Env.
func (r *agentRig) Run(_ target.Call, done func(target.Result)) func() {
	r.running = append(r.running, done)
	return func() {}
}

// Violated implements agent.Env.
func (r *agentRig) Violated(_, _, _, _ string) { r.violations++ }

// run dispatches single tasks of the entries in turn and ends each. With release
// every dispatch releases what its entry was answered before.
func (r *agentRig) run(tasks int, release bool) error {
	for range tasks {
		r.dispatched++
		from := entryID(r.dispatched % senderEntries)
		r.seqs[from]++
		task := wire.DispatchTask{Seq: r.seqs[from], Count: 1, Attempt: 1, BudgetMS: 30_000, Input: bytes.Clone(payload)}
		task.Key[0], task.Key[1], task.Key[2], task.Key[3] = byte(r.dispatched), byte(r.dispatched>>8), byte(r.dispatched>>16), byte(from)
		d := &wire.Dispatch{Agent: agentID(0), Entry: from, Tasks: []wire.DispatchTask{task}}
		if release {
			d.Released = r.unreleased[from]
			r.unreleased[from] = []uint64{task.Seq}
		}
		r.core.Received(from, d)
		for _, done := range r.running {
			done(target.Result{Outcome: job.OK, Output: bytes.Clone(payload), Took: 100 * time.Millisecond})
		}
		r.running = r.running[:0]
	}
	return r.check()
}

func (r *agentRig) check() error {
	if r.violations > 0 || r.answers != r.dispatched {
		return errors.Newf("%d violations, %d answers of %d dispatches", r.violations, r.answers, r.dispatched)
	}
	return nil
}

// settle releases everything and lets the retention pass.
func (r *agentRig) settle() {
	for from, seqs := range r.unreleased {
		r.core.Received(from, &wire.Heartbeat{Released: seqs})
		r.unreleased[from] = nil
	}
	r.tick(fencing.DefaultLimits.ResultRetention+time.Second, senderEntries)
}

// tick passes a virtual time with the heartbeats of the entries.
func (r *agentRig) tick(lasts time.Duration, entries int) {
	const beat = 500 * time.Millisecond
	for passed := time.Duration(0); passed < lasts; passed += agentTick {
		if passed%beat == 0 {
			for i := range entries {
				r.core.Received(entryID(i), &wire.Heartbeat{})
			}
		}
		r.now = r.now.Add(agentTick)
		r.core.Tick()
	}
}

func agentFigures(o Options) ([]Figure, error) {
	return collect(
		func() (Figure, error) {
			return o.bytesOf("agent: heap per entry link", "entry", []int{500, 1000, 2000, 4000},
				func(n int) (any, error) { return newAgentRig(n), nil })
		},
		func() (Figure, error) {
			return o.bytesOf("agent: heap per held result", "result", []int{2000, 4000, 8000, 16000}, func(n int) (any, error) {
				r := newAgentRig(senderEntries)
				return r, r.run(n, false)
			})
		},
		func() (Figure, error) {
			return o.bytesOf("agent: heap per settled sequence", "sequence", []int{4000, 8000, 16000, 32000}, func(n int) (any, error) {
				r := newAgentRig(senderEntries)
				err := r.run(n, true)
				r.settle()
				return r, err
			})
		},
		func() (Figure, error) {
			return o.timeOf("agent: processor time per task", "task", []int{5000, 10000, 20000, 40000}, 1, func(n int) (func() error, error) {
				r := newAgentRig(senderEntries)
				return func() error { return r.run(n, true) }, nil
			})
		},
		func() (Figure, error) {
			const lasts = 100 * time.Second
			return o.timeOf("agent: processor time per idle second", "entry", []int{8, 16, 32, 64}, lasts.Seconds(),
				func(n int) (func() error, error) {
					r := newAgentRig(n)
					return func() error { r.tick(lasts, n); return r.check() }, nil
				})
		},
	)
}
