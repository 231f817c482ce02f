package bench

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/scheduler"
	"github.com/azurerouter/azurerouter/request/job"
)

// The modelled deployment is that of the first user on the design page.
const (
	entries        = 2
	targets        = 10
	slots          = 8
	zones          = 4
	targetMemoryMB = 8 << 10
	// sameZoneLatency and otherZoneLatency are one-way latencies.
	sameZoneLatency  = 250 * time.Microsecond
	otherZoneLatency = 1500 * time.Microsecond
	tickInterval     = 50 * time.Millisecond
	// warmUp is the time at the start of a run that results leave out, unless
	// Report states otherwise.
	warmUp = 10 * time.Second
)

// latency returns the one-way latency between two zones.
func latency(a, b int) time.Duration {
	if a == b {
		return sameZoneLatency
	}
	return otherZoneLatency
}

// Config describes one simulated run.
type Config struct {
	// Settings are those of the scheduler of every entry.
	Settings scheduler.Settings
	// Load is the offered work as a share of the capacity of all slots.
	Load float64
	// UrgentShare is the share of tasks that are urgent, 0 to 1.
	UrgentShare float64
	// Seed determines every random draw of the run.
	Seed uint64
	// AgentQueue is how many tasks may wait at an agent beyond its slots.
	AgentQueue int
	// Duration is the virtual time in which tasks arrive.
	Duration time.Duration
	// MisdeclaredMemory lets a fifth of the tasks declare four times too much or
	// too little memory. If it is not set, tasks declare no memory.
	MisdeclaredMemory bool
	// NightLoad replaces the load by that of nightArrivals. Load, UrgentShare and
	// LoadFactor have no effect then.
	NightLoad bool
	// LoadFactor multiplies the load at a virtual time; nil means 1.
	LoadFactor func(time.Duration) float64
	// ScheduleFaults adds the events that inject faults; nil means no faults.
	ScheduleFaults func(*cluster)
}

// messageKind classifies the messages between entries and agents.
type messageKind int

const (
	dispatchMessage messageKind = iota
	answerMessage
	heartbeatMessage
	grantMessage
	controlMessage
	messageKinds // number of kinds
)

// taskResult is how a task ended, or unfinished.
type taskResult uint8

const (
	unfinished taskResult = iota
	answered
	failed
	refused    // not admitted
	expired    // the deadline passed in the queue of the entry
	late       // ended or answered after the deadline
	lost       // the agent was silent for deadAfter
	notStarted // the scheduler refused a retry
)

// dispatchCount is the number of dispatches, and of those that are the first of
// their task.
type dispatchCount struct{ all, first int }

// cluster is the simulated deployment of one run: entries, agents with their
// targets, and the messages between them.
type cluster struct {
	sim
	cfg             Config
	random          *rand.Rand
	arrivals        []arrival
	results         []taskResult
	responseTimes   []time.Duration
	remainingTasks  int
	entries         []*entry
	agents          []*agent
	lastIncarnation wire.Incarnation
	messages        [messageKinds]int
	unusedMessages  int
	dispatches      int
	// failingInputShare is the share of tasks that fail on every target at this
	// time.
	failingInputShare float64
	retries           int
	dispatchesBySpan  map[time.Duration]*dispatchCount
	repeatedEnds      int
	busySamples       []busySlots
}

func newCluster(cfg Config) *cluster {
	c := &cluster{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 3))}
	c.dispatchesBySpan = map[time.Duration]*dispatchCount{}
	loadFactor := cfg.LoadFactor
	if loadFactor == nil {
		loadFactor = func(time.Duration) float64 { return 1 }
	}
	if cfg.NightLoad {
		c.arrivals = nightArrivals(cfg)
	} else {
		c.arrivals = generateArrivals(cfg, loadFactor)
	}
	c.results = make([]taskResult, len(c.arrivals))
	c.responseTimes = make([]time.Duration, len(c.arrivals))
	c.remainingTasks = len(c.arrivals)
	for i := range entries {
		c.entries = append(c.entries, &entry{c: c, index: i, zone: i, scheduler: scheduler.New(cfg.Settings),
			random:      rand.New(rand.NewPCG(cfg.Seed, uint64(10+i))),
			outstanding: map[wire.Incarnation]map[*dispatch]bool{}, agents: map[wire.Incarnation]*agent{}})
	}
	for i := range targets {
		a := &agent{c: c, index: i, zone: i % zones, slowFactor: 1}
		c.agents = append(c.agents, a)
		a.register()
	}
	return c
}

// run delivers the arrivals of a submission together to an entry drawn at random,
// and ends when every task has a result.
func (c *cluster) run() {
	entryChoice := rand.New(rand.NewPCG(c.cfg.Seed, 2))
	for first := 0; first < len(c.arrivals); {
		last := first + 1
		for last < len(c.arrivals) && c.arrivals[last].jobNumber == c.arrivals[first].jobNumber {
			last++
		}
		e, from, to := c.entries[entryChoice.IntN(entries)], first, last
		c.at(c.arrivals[first].at, func() { e.submit(from, to) })
		first = last
	}
	if c.cfg.ScheduleFaults != nil {
		c.cfg.ScheduleFaults(c)
	}
	for _, e := range c.entries {
		c.runEvery(tickInterval, e.tick)
		for _, a := range c.agents {
			c.scheduleHeartbeats(e, a)
		}
	}
	c.runEvery(sampleInterval, c.sampleBusy)
	c.runUntil(func() bool { return c.remainingTasks == 0 })
}

// runEvery runs a function at every interval until the run ends.
func (c *cluster) runEvery(interval time.Duration, run func()) {
	c.after(interval, func() {
		run()
		c.runEvery(interval, run)
	})
}

// scheduleHeartbeats sends a heartbeat in each direction in which no message was
// sent for heartbeatInterval, and schedules the next check.
func (c *cluster) scheduleHeartbeats(e *entry, a *agent) {
	if c.now-a.lastSent[e.index] >= heartbeatInterval {
		load := a.load()
		id := a.id
		a.send(e, heartbeatMessage, func() {
			e.scheduler.Report(c.clock(), id, load)
			e.dispatchQueued()
		})
	}
	if c.now-e.lastSent[a.index] >= heartbeatInterval {
		demand := e.queued
		e.send(a, heartbeatMessage, func() { a.demand[e.index] = demand })
	}
	due := min(a.lastSent[e.index], e.lastSent[a.index]) + heartbeatInterval
	c.at(max(due, c.now+time.Millisecond), func() { c.scheduleHeartbeats(e, a) })
}

// countDispatch counts a dispatch; attempt 0 is the first one of its task.
func (c *cluster) countDispatch(attempt int) {
	c.dispatches++
	span := c.now / dispatchSpan
	if c.dispatchesBySpan[span] == nil {
		c.dispatchesBySpan[span] = &dispatchCount{}
	}
	c.dispatchesBySpan[span].all++
	if attempt == 0 {
		c.dispatchesBySpan[span].first++
	}
}

// countMessage counts a message sent after the warm-up.
func (c *cluster) countMessage(kind messageKind) {
	if c.now >= warmUp && c.now < c.cfg.Duration {
		c.messages[kind]++
	}
}

// countUnused counts messages that brought no answer in time, after the warm-up.
func (c *cluster) countUnused(messages int) {
	if c.now >= warmUp && c.now < c.cfg.Duration {
		c.unusedMessages += messages
	}
}

// endTask records the result of a task. An answer after the deadline counts as
// late.
func (c *cluster) endTask(task int, r taskResult) {
	if c.results[task] != unfinished {
		c.repeatedEnds++
		return
	}
	if r == answered && c.now > c.arrivals[task].deadline {
		r = late
	}
	c.results[task] = r
	c.responseTimes[task] = c.now - c.arrivals[task].at
	c.remainingTasks--
}

// sortedByTask returns the dispatches of a set in order of their task, so that a
// run does not depend on the iteration order of the map.
func (c *cluster) sortedByTask(set map[*dispatch]bool) []*dispatch {
	var dispatches []*dispatch
	for d := range set {
		dispatches = append(dispatches, d)
	}
	sort.Slice(dispatches, func(i, j int) bool { return dispatches[i].task < dispatches[j].task })
	return dispatches
}

// afterWarmUp reports whether the task arrived after the warm-up, so that the
// report includes it.
func (c *cluster) afterWarmUp(task int) bool { return c.arrivals[task].at >= warmUp }

// isUrgent reports whether the task has the urgent priority.
func isUrgent(a arrival) bool { return a.priority == job.Urgent }
