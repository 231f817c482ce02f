package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/standin/executor"
)

// Times of the virtual cluster.
const (
	step          = time.Millisecond
	linkDelay     = time.Millisecond
	tick          = 15 * time.Millisecond
	orderTimeout  = 20 * time.Millisecond
	holdSlack     = 40 * time.Millisecond
	maxHolds      = 3
	idleTimeout   = 2 * time.Second
	redial        = 30 * time.Millisecond
	resendAfter   = 1300 * time.Millisecond
	serviceName   = "card"
	appliedLateBy = 3 * time.Second
)

// cluster runs entries, agents and executors in virtual time.
type cluster struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	entries []*entryNode
	agents  []*agentNode
	links   []*link
	timers  []timer
	work    map[batch.Task]executor.Work
	// lateShare of the starts gets no answer and is carried out later.
	lateShare float64
	overlaps  int
}

type timer struct {
	at time.Time
	do func()
}

// node is what entries and agents have in common.
type node struct {
	alive  bool
	frozen bool
	id     wire.Incarnation
}

func (n *node) runs() bool { return n.alive && !n.frozen }

type entryNode struct {
	node
	c    *cluster
	core *dispatch.Core
	zone string
}

type agentNode struct {
	node
	c        *cluster
	name     string
	core     *runner.Core
	executor *executor.Executor
	sequence uint64
	// holds are the calls that wait at the executor.
	holds []waitingHold
	inbox []func()
}

type waitingHold struct {
	call runner.HoldCall
	ends time.Time
	// lost calls get no answer.
	lost bool
}

// link is the connection of an agent to an entry. Messages are delayed by a cut
// and delivered when it heals, unless the connection has ended by then.
type link struct {
	entry   *entryNode
	agent   *agentNode
	open    bool
	nextTry time.Time
	cut     bool
	heard   time.Time
	toEntry []delivery
	toAgent []delivery
}

type delivery struct {
	at time.Time
	m  wire.Message
}

func newCluster(t *testing.T, seed uint64, entries int, rooms []batch.Resources) *cluster {
	c := &cluster{t: t, now: time.UnixMilli(1_000_000), random: rand.New(rand.NewPCG(seed, 1)), work: make(map[batch.Task]executor.Work)}
	for i := range entries {
		e := &entryNode{c: c, zone: fmt.Sprintf("zone-%d", i%3)}
		c.entries = append(c.entries, e)
		c.startEntry(e)
	}
	for i, room := range rooms {
		a := &agentNode{c: c, name: fmt.Sprintf("agent-%d", i)}
		a.executor = executor.New(c.now, fmt.Sprintf("target-%d", i), room, c.workOf)
		c.agents = append(c.agents, a)
		c.startAgent(a)
		for _, e := range c.entries {
			c.links = append(c.links, &link{entry: e, agent: a})
		}
	}
	return c
}

func (c *cluster) workOf(t batch.Task) executor.Work { return c.work[t] }

func (c *cluster) startEntry(e *entryNode) {
	e.node = node{alive: true, id: wire.Incarnation(c.random.Uint64())}
	e.core = dispatch.New((*entryEnv)(e), e.id, e.zone, c.random.Uint64())
}

func (c *cluster) startAgent(a *agentNode) {
	a.node = node{alive: true, id: wire.Incarnation(c.random.Uint64())}
	a.holds, a.inbox = nil, nil
	a.core = runner.New((*agentEnv)(a), runner.Options{Agent: a.id, Node: a.name, Zone: "zone-0", Fence: uint64(c.now.UnixMilli())})
	a.report()
}

// report sends what the executor says of itself.
func (a *agentNode) report() {
	a.sequence++
	a.core.Reported(runner.TargetReport{Target: a.executor.ID, Service: serviceName, Born: a.executor.Born, Sequence: a.sequence, Room: a.executor.Room})
}

func (c *cluster) after(d time.Duration, do func()) {
	c.timers = append(c.timers, timer{c.now.Add(d), do})
}

// to delivers an event to an agent, when it runs again if it is frozen.
func (a *agentNode) to(do func()) {
	if a.frozen {
		a.inbox = append(a.inbox, do)
	} else if a.alive {
		do()
	}
}

type entryEnv entryNode

func (e *entryEnv) Now() time.Time                     { return e.c.now }
func (e *entryEnv) Decided(decision.Decision)          {}
func (e *entryEnv) Progressed(batch.ID)                {}
func (e *entryEnv) IsOpen(batch.ID) (open, known bool) { return false, true }
func (e *entryEnv) Send(agent wire.Incarnation, m wire.Message) {
	for _, l := range e.c.links {
		if l.entry.id == e.id && l.agent.id == agent && l.open {
			l.toAgent = append(l.toAgent, delivery{e.c.now.Add(linkDelay), m})
		}
	}
}

type agentEnv agentNode

func (a *agentEnv) Now() time.Time            { return a.c.now }
func (a *agentEnv) Decided(decision.Decision) {}
func (a *agentEnv) find(entry wire.Incarnation) *link {
	for _, l := range a.c.links {
		if l.agent.id == a.id && l.entry.id == entry && l.open {
			return l
		}
	}
	return nil
}
func (a *agentEnv) Send(entry wire.Incarnation, m wire.Message) {
	if l := a.find(entry); l != nil {
		l.toEntry = append(l.toEntry, delivery{a.c.now.Add(linkDelay), m})
	}
}
func (a *agentEnv) Disconnect(entry wire.Incarnation) {
	if l := a.find(entry); l != nil {
		a.c.after(0, func() { a.c.closeLink(l) })
	}
}

// call carries out a call to the executor. Some get no answer and are carried
// out late.
func (a *agentEnv) call(do func() runner.Answer, answered func(runner.Answer)) {
	n, id := (*agentNode)(a), a.id
	reply := func(answer runner.Answer) {
		n.to(func() {
			if n.id == id {
				answered(answer)
			}
		})
	}
	if a.c.random.Float64() < a.c.lateShare {
		a.c.after(time.Duration(a.c.random.Int64N(int64(appliedLateBy))), func() { do() })
		a.c.after(orderTimeout, func() { reply(runner.Answer{Verdict: runner.VerdictUnanswered}) })
		return
	}
	a.c.after(step, func() {
		if n.executor.Crashed {
			a.c.after(orderTimeout, func() { reply(runner.Answer{Verdict: runner.VerdictUnanswered}) })
			return
		}
		reply(do())
	})
}

func (a *agentEnv) Start(call runner.StartCall) {
	target := a.executor
	a.call(func() runner.Answer { return target.Start(a.c.now, call) }, func(answer runner.Answer) { a.core.StartAnswered(call, answer) })
}

func (a *agentEnv) Stop(call runner.StopCall) {
	target := a.executor
	a.call(func() runner.Answer { return target.Stop(a.c.now, call) }, func(answer runner.Answer) { a.core.StopAnswered(call, answer) })
}

func (a *agentEnv) Look() {
	n := (*agentNode)(a)
	a.c.after(step, func() {
		n.to(func() {
			if call, ok := n.core.NextHold(false); ok && !n.executor.Crashed {
				n.answerHold(call)
			}
		})
	})
}

func (a *agentNode) answerHold(call runner.HoldCall) {
	answer, verdict := a.executor.Hold(a.c.now, call)
	if verdict != runner.VerdictDone {
		a.core.HoldFailed(call, verdict)
		return
	}
	a.core.HoldAnswered(call, answer)
}

// holdLease keeps calls waiting at the executor.
func (a *agentNode) holdLease() {
	waiting := a.holds
	a.holds = nil
	for _, h := range waiting {
		switch {
		case a.executor.Crashed || h.lost && a.c.now.After(h.ends.Add(holdSlack)):
			a.core.HoldFailed(h.call, runner.VerdictUnanswered)
		case !h.lost && (a.executor.HasEnds(h.call.Seen) || a.c.now.After(h.ends)):
			h.call.LeaseUntil = 0 // the lease was renewed when the call arrived
			a.answerHold(h.call)
		default:
			a.holds = append(a.holds, h)
		}
	}
	for len(a.holds) == 0 || (a.core.Lossy() && len(a.holds) < maxHolds) {
		if !a.newHold() {
			return
		}
	}
}

// newHold makes a call and reports whether it waits at the executor.
func (a *agentNode) newHold() bool {
	call, ok := a.core.NextHold(true)
	if !ok || a.executor.Crashed {
		return false
	}
	lost := a.c.random.Float64() < a.c.lateShare
	answer, verdict := a.executor.Hold(a.c.now, call)
	if !lost && (verdict != runner.VerdictDone || len(answer.Ended) > 0 || call.Wait == 0) {
		a.answerHold(call)
		return false
	}
	a.holds = append(a.holds, waitingHold{call, a.c.now.Add(call.Wait), lost})
	return true
}

func (c *cluster) closeLink(l *link) {
	if !l.open {
		return
	}
	l.open, l.toEntry, l.toAgent = false, nil, nil
	l.nextTry = c.now.Add(redial)
	if l.entry.alive {
		l.entry.core.Disconnected(l.agent.id, nil)
	}
	agent, entry := l.agent, l.entry.id
	agent.to(func() { agent.core.Disconnected(entry) })
}

func (c *cluster) stepLink(l *link) {
	if !l.entry.alive || !l.agent.alive {
		c.closeLink(l)
		return
	}
	if !l.open {
		if !l.cut && l.entry.runs() && l.agent.runs() && c.now.After(l.nextTry) && l.agent.core.MayEnroll() {
			l.open, l.heard = true, c.now
			l.agent.core.Connected(l.entry.id)
		}
		return
	}
	if l.cut {
		if c.now.Sub(l.heard) > idleTimeout {
			c.closeLink(l)
		}
		return
	}
	l.heard = c.now
	for l.open && l.entry.runs() && len(l.toEntry) > 0 && !l.toEntry[0].at.After(c.now) {
		m := l.toEntry[0].m
		l.toEntry = l.toEntry[1:]
		switch m := m.(type) {
		case *wire.Enroll:
			l.entry.core.Enrolled(m)
		case *wire.AgentReport:
			l.entry.core.Received(l.agent.id, m)
		}
	}
	for l.open && l.agent.runs() && len(l.toAgent) > 0 && !l.toAgent[0].at.After(c.now) {
		m := l.toAgent[0].m
		l.toAgent = l.toAgent[1:]
		l.agent.core.Received(l.entry.id, m)
	}
}

// step advances the cluster by one step and checks that no task runs twice.
func (c *cluster) step() {
	c.now = c.now.Add(step)
	due := c.timers
	c.timers = nil
	for _, t := range due {
		if t.at.After(c.now) {
			c.timers = append(c.timers, t)
			continue
		}
		t.do()
	}
	ticks := c.now.UnixMilli()%tick.Milliseconds() == 0
	for _, a := range c.agents {
		a.executor.Advance(c.now)
		if !a.runs() {
			continue
		}
		for _, do := range a.inbox {
			do()
		}
		a.inbox = nil
		a.holdLease()
		if ticks {
			a.core.Tick()
		}
	}
	for _, l := range c.links {
		c.stepLink(l)
	}
	for _, e := range c.entries {
		if ticks && e.runs() {
			e.core.Tick()
		}
	}
	c.checkOverlap()
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.step()
	}
}

func (c *cluster) checkOverlap() {
	seen := make(map[batch.Task]string)
	for _, a := range c.agents {
		for _, run := range a.executor.Running() {
			if other, ok := seen[run.Task]; ok {
				c.overlaps++
				c.t.Errorf("%v: %s runs on %s and on %s", c.now.UnixMilli(), run, other, a.name)
			}
			seen[run.Task] = a.name
		}
	}
}

// caller hands in a job and sends it again when its connection breaks.
type caller struct {
	c       *cluster
	s       batch.Submission
	at      *entryNode
	entry   wire.Incarnation
	began   time.Time
	took    time.Duration
	result  *dispatch.Result
	results int
	// attempt numbers the submissions; only the newest is of interest.
	attempt int
}

func (c *cluster) call(s batch.Submission, entry int) *caller {
	k := &caller{c: c, s: s, began: c.now}
	k.send(entry)
	return k
}

func (k *caller) send(entry int) {
	e := k.c.entries[entry%len(k.c.entries)]
	if !e.alive {
		k.c.after(resendAfter, func() { k.send(entry + 1) })
		return
	}
	if e.frozen {
		k.c.after(100*time.Millisecond, func() { k.send(entry) })
		return
	}
	k.at, k.entry = e, e.id
	k.attempt++
	attempt := k.attempt
	s := k.s
	if k.c.now.Sub(k.began) >= resendAfter {
		s.Waited = resendAfter
		s.Patience -= k.c.now.Sub(k.began)
	}
	e.core.Submit(s, func(r dispatch.Result) {
		if attempt != k.attempt {
			return
		}
		if r.Code == dispatch.GaveUp {
			k.attempt++
			k.c.after(resendAfter, func() { k.send(entry + 1) })
			return
		}
		k.results++
		k.result, k.took = &r, k.c.now.Sub(k.began)
	})
	k.watch(entry, attempt)
}

// watch sends the job again when the process that took it is gone.
func (k *caller) watch(entry, attempt int) {
	k.c.after(50*time.Millisecond, func() {
		switch {
		case k.result != nil || attempt != k.attempt:
		case !k.at.alive || k.at.id != k.entry:
			k.attempt++
			k.c.after(resendAfter-50*time.Millisecond, func() { k.send(entry + 1) })
		default:
			k.watch(entry, attempt)
		}
	})
}

// submission returns a job of one step and sets the work of its tasks.
func (c *cluster) submission(name string, tasks int, work time.Duration, cpu int, priority int) batch.Submission {
	id := batch.ID(fmt.Sprintf("%016x", c.random.Uint64()))
	demand := batch.Resources{MilliCPU: cpu, MemoryMiB: 64}
	for index := range tasks {
		c.work[batch.Task{Job: id, Index: index}] = executor.Work{Duration: work, Demand: demand}
	}
	return batch.Submission{Service: serviceName, Queue: name, Priority: priority, MaxAttempts: 3,
		Objective: work*8/5 + 60*time.Millisecond, Patience: 3 * time.Second,
		Job: batch.Job{ID: id, Spec: "s", Steps: []batch.Step{{Tasks: tasks, Demand: demand, Estimate: work}}}}
}

func equalRooms(n, cpu int) []batch.Resources {
	rooms := make([]batch.Resources, n)
	for i := range rooms {
		rooms[i] = batch.Resources{MilliCPU: cpu, MemoryMiB: 32768}
	}
	return rooms
}
