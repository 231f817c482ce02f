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

// Parameters of the virtual cluster.
const (
	timeStep     = time.Millisecond
	linkDelay    = time.Millisecond
	tickInterval = 15 * time.Millisecond
	// orderTimeout is when a start or stop without an answer is given up.
	orderTimeout = 20 * time.Millisecond
	// holdTimeoutMargin is how long after its end a hold without an answer is
	// given up.
	holdTimeoutMargin = 40 * time.Millisecond
	// maxHolds bounds the holds that wait at a time while answers get lost.
	maxHolds = 3
	// idleTimeout is when a link that is cut is closed.
	idleTimeout = 2 * time.Second
	redialDelay = 30 * time.Millisecond
	// resendAfter is when a caller submits its job again after its entry has ended
	// or given up.
	resendAfter = 1300 * time.Millisecond
	serviceName = "card"
	// maxApplyDelay bounds the delay of a call that is carried out late.
	maxApplyDelay = 3 * time.Second
	// logReadDelay is how long it takes to read the log to its end.
	logReadDelay = 10 * time.Millisecond
	// endlessOwnership is how long entries own their durable jobs if a test does not say
	// otherwise.
	endlessOwnership = time.Hour
)

// cluster runs entries, agents and executors in virtual time.
type cluster struct {
	t       testing.TB
	now     time.Time
	random  *rand.Rand
	entries []*entryNode
	agents  []*agentNode
	links   []*link
	timers  []timer
	work    map[batch.Task]executor.Work
	// lostAnswerShare is the share of calls to the executor that get no answer.
	// Starts and stops among them are carried out later.
	lostAnswerShare float64
	// stopsLost makes all calls that stop a run get no answer and no effect.
	stopsLost bool
	// durableJobs holds the states of the jobs in the log. logRead, if set, is called
	// when an entry reads the log to its end, and reports whether it could.
	durableJobs map[batch.ID]dispatch.DurableJobState
	logRead     func() bool
	// ownership is how long entries own their durable jobs after their start.
	ownership time.Duration
	// logKnown is how long after their start entries know the log well enough to order
	// tasks of durable jobs.
	logKnown time.Duration
	// overlaps counts the errors that checkOverlap has reported.
	overlaps int
	// options are those of new entry processes.
	options []dispatch.Option
	// entryCount is the number of entries that every entry takes into account.
	entryCount int
	// sent counts the messages between processes, sentBytes their encoded size.
	sent, sentBytes int
}

type timer struct {
	at time.Time
	do func()
}

// node is the common state of entries and agents.
type node struct {
	alive  bool
	frozen bool
	id     wire.Incarnation
}

func (n *node) running() bool { return n.alive && !n.frozen }

type entryNode struct {
	node
	c    *cluster
	core *dispatch.Core
	zone string
	// suspensions are the outcomes of the decisions on the ownership of durable jobs.
	suspensions []string
	// recorded counts the decisions that the entry has recorded.
	recorded int
}

type agentNode struct {
	node
	c        *cluster
	name     string
	zone     string
	core     *runner.Core
	executor *executor.Executor
	labels   []string
	sequence uint64
	// pendingHolds are the hold calls that wait at the executor.
	pendingHolds []pendingHold
	inbox        []func()
}

type pendingHold struct {
	call   runner.HoldCall
	endsAt time.Time
	// lost is set for a call that gets no answer.
	lost bool
}

// link is the connection of an agent to an entry. Messages sent during a cut are
// delivered after it, unless the connection has ended by then.
type link struct {
	entry       *entryNode
	agent       *agentNode
	open        bool
	nextDial    time.Time
	cut         bool
	lastContact time.Time
	toEntry     []delivery
	toAgent     []delivery
}

type delivery struct {
	at time.Time
	m  wire.Message
}

func newCluster(t testing.TB, seed uint64, entries int, rooms []batch.Resources) *cluster {
	c := &cluster{t: t, now: time.UnixMilli(1_000_000), random: rand.New(rand.NewPCG(seed, 1)), work: make(map[batch.Task]executor.Work),
		ownership: endlessOwnership, logKnown: endlessOwnership}
	for i := range entries {
		e := &entryNode{c: c, zone: fmt.Sprintf("zone-%d", i%3)}
		c.entries = append(c.entries, e)
		c.startEntry(e)
	}
	for i, room := range rooms {
		a := &agentNode{c: c, name: fmt.Sprintf("agent-%d", i), zone: "zone-0"}
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
	e.core = dispatch.New((*entryEnv)(e), e.id, e.zone, c.random.Uint64(), c.options...)
	e.core.SetEntryCount(c.entryCount)
	e.core.OwnDurableUntil(c.now.Add(c.ownership))
	e.core.StartDurableUntil(c.now.Add(c.logKnown))
}

// setEntryCount sets the number of entries that the present and future entry
// processes take into account.
func (c *cluster) setEntryCount(entries int) {
	c.entryCount = entries
	for _, e := range c.entries {
		e.core.SetEntryCount(entries)
	}
}

// countMessage counts a message between processes.
func (c *cluster) countMessage(m wire.Message) {
	frame, err := wire.Append(nil, m)
	if err != nil {
		c.t.Fatal(err)
	}
	c.sent++
	c.sentBytes += len(frame)
}

func (c *cluster) startAgent(a *agentNode) {
	a.node = node{alive: true, id: wire.Incarnation(c.random.Uint64())}
	a.pendingHolds, a.inbox = nil, nil
	a.core = runner.New((*agentEnv)(a), runner.Options{Agent: a.id, Node: a.name, Zone: a.zone, Fence: uint64(c.now.UnixMilli())})
	a.report()
}

// report sends a report of the target to its agent.
func (a *agentNode) report() {
	a.sequence++
	a.core.HandleTargetReport(runner.TargetReport{Target: a.executor.ID, Service: serviceName, StartTime: a.executor.StartedAtMS, Sequence: a.sequence, Capacity: a.executor.Capacity, Labels: a.labels})
}

func (c *cluster) after(d time.Duration, do func()) {
	c.timers = append(c.timers, timer{c.now.Add(d), do})
}

// deliver passes an event to an agent. If the agent is frozen, the event waits
// until it runs again.
func (a *agentNode) deliver(do func()) {
	if a.frozen {
		a.inbox = append(a.inbox, do)
	} else if a.alive {
		do()
	}
}

type entryEnv entryNode

func (e *entryEnv) Now() time.Time { return e.c.now }
func (e *entryEnv) Record(d decision.Decision) {
	e.recorded++
	if d.Step == "durable" {
		e.suspensions = append(e.suspensions, d.Outcome)
	}
}
func (e *entryEnv) NoteProgress(batch.ID) {}
func (e *entryEnv) DurableJobState(id batch.ID) dispatch.DurableJobState {
	if state, known := e.c.durableJobs[id]; known {
		return state
	}
	return dispatch.DurableUnknown
}
func (e *entryEnv) AfterLogRead(f func(bool)) {
	if e.c.logRead != nil {
		e.c.after(logReadDelay, func() { f(e.c.logRead()) })
		return
	}
	e.c.after(logReadDelay, func() { f(true) })
}
func (e *entryEnv) Send(agent wire.Incarnation, m wire.Message) {
	for _, l := range e.c.links {
		if l.entry.id == e.id && l.agent.id == agent && l.open {
			e.c.countMessage(m)
			l.toAgent = append(l.toAgent, delivery{e.c.now.Add(linkDelay), m})
		}
	}
}

func (c *cluster) closeLink(l *link) {
	if !l.open {
		return
	}
	l.open, l.toEntry, l.toAgent = false, nil, nil
	l.nextDial = c.now.Add(redialDelay)
	if l.entry.alive {
		l.entry.core.HandleDisconnect(l.agent.id, nil)
	}
	agent, entry := l.agent, l.entry.id
	agent.deliver(func() { agent.core.Disconnected(entry) })
}

// stepLink opens a link that is due, and delivers the messages that are due on an
// open one.
func (c *cluster) stepLink(l *link) {
	if !l.entry.alive || !l.agent.alive {
		c.closeLink(l)
		return
	}
	if !l.open {
		if !l.cut && l.entry.running() && l.agent.running() && c.now.After(l.nextDial) && l.agent.core.MayEnroll() {
			l.open, l.lastContact = true, c.now
			l.agent.core.Connected(l.entry.id)
		}
		return
	}
	if l.cut {
		if c.now.Sub(l.lastContact) > idleTimeout*time.Duration(1+c.entryCount/20) {
			c.closeLink(l)
		}
		return
	}
	l.lastContact = c.now
	for l.open && l.entry.running() && len(l.toEntry) > 0 && !l.toEntry[0].at.After(c.now) {
		m := l.toEntry[0].m
		l.toEntry = l.toEntry[1:]
		switch m := m.(type) {
		case *wire.Enroll:
			l.entry.core.HandleEnroll(m)
		case *wire.AgentReport:
			l.entry.core.HandleReport(l.agent.id, m)
		}
	}
	for l.open && l.agent.running() && len(l.toAgent) > 0 && !l.toAgent[0].at.After(c.now) {
		m := l.toAgent[0].m
		l.toAgent = l.toAgent[1:]
		l.agent.core.HandleMessage(l.entry.id, m)
	}
}

// step advances the cluster by one time step and checks that no task runs twice.
func (c *cluster) step() {
	c.now = c.now.Add(timeStep)
	due := c.timers
	c.timers = nil
	for _, t := range due {
		if t.at.After(c.now) {
			c.timers = append(c.timers, t)
			continue
		}
		t.do()
	}
	ticks := c.now.UnixMilli()%tickInterval.Milliseconds() == 0
	for _, a := range c.agents {
		a.executor.Advance(c.now)
		if !a.running() {
			continue
		}
		for _, do := range a.inbox {
			do()
		}
		a.inbox = nil
		a.updateHolds()
		if ticks {
			a.core.Tick()
		}
	}
	for _, l := range c.links {
		c.stepLink(l)
	}
	for _, e := range c.entries {
		if ticks && e.running() {
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

// checkOverlap fails the test if a task has two runs at the same time.
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

// submission returns a job of one step and sets the work of its tasks. cpu is in
// thousandths of a core.
func (c *cluster) submission(name string, tasks int, work time.Duration, cpu int, priority int) batch.Submission {
	id := batch.ID(fmt.Sprintf("%016x", c.random.Uint64()))
	demand := batch.Resources{MilliCPU: cpu, MemoryMiB: 64}
	for index := range tasks {
		c.work[batch.Task{Job: id, Index: index}] = executor.Work{Duration: work, Demand: demand}
	}
	return batch.Submission{Service: serviceName, Queue: name, Priority: priority, MaxAttempts: 3,
		Objective: work*8/5 + 60*time.Millisecond, CallerTimeout: 3 * time.Second,
		Job: batch.Job{ID: id, Spec: "s", Steps: []batch.Step{{Tasks: tasks, Demand: demand, Estimate: work}}}}
}

// equalRooms returns the resources of n equal targets. cpu is in thousandths of a
// core.
func equalRooms(n, cpu int) []batch.Resources {
	rooms := make([]batch.Resources, n)
	for i := range rooms {
		rooms[i] = batch.Resources{MilliCPU: cpu, MemoryMiB: 32768}
	}
	return rooms
}
