package bench

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/scheduler"
	"github.com/azurerouter/azurerouter/request/job"
)

// The modelled installation is that of the first user of the design page.
const (
	entries      = 2
	targets      = 10
	slots        = 8
	zones        = 4
	targetMemory = 8 << 10 // MB
	// sameZone and otherZone are one-way latencies.
	sameZone  = 250 * time.Microsecond
	otherZone = 1500 * time.Microsecond
	tickTime  = 50 * time.Millisecond
	// warmUp is left out of the figures.
	warmUp = 10 * time.Second
)

func latency(a, b int) time.Duration {
	if a == b {
		return sameZone
	}
	return otherZone
}

// Config describes one run.
type Config struct {
	Settings scheduler.Settings
	// Load is the offered work as a share of the slots.
	Load float64
	// UrgentShare is the share of tasks that are urgent, 0 to 1.
	UrgentShare float64
	Seed        uint64
	// AgentQueue is how many tasks may wait at an agent beyond its slots.
	AgentQueue int
	// Duration is the virtual time in which tasks arrive.
	Duration   time.Duration
	WrongSizes bool
	// Night replaces the constant load by that of a night.
	Night bool
	// Rate scales the load over time; nil means a constant load.
	Rate func(time.Duration) float64
	// Faults schedules what goes wrong; nil means nothing.
	Faults func(*cluster)
}

type messageKind int

const (
	dispatchMessage messageKind = iota
	answerMessage
	heartbeatMessage
	grantMessage
	controlMessage
	messageKinds
)

// result says how a task ended.
type result uint8

const (
	open result = iota
	answered
	failed
	refused
	expired
	late
	lost
	notStarted
)

// startCount counts dispatches, and those that are the first of their task.
type startCount struct{ all, first int }

// cluster is one run.
type cluster struct {
	sim
	cfg          Config
	random       *rand.Rand
	arrivals     []arrival
	results      []result
	response     []time.Duration
	remaining    int
	entries      []*entry
	agents       []*agent
	incarnations wire.Incarnation
	messages     [messageKinds]int
	wasted       int
	starts       int
	// poisoned is the share of tasks that now fail on every target.
	poisoned   float64
	retries    int
	startsIn   map[time.Duration]*startCount
	doubleEnds int
	busy       []sample
}

func newCluster(cfg Config) *cluster {
	c := &cluster{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 3))}
	c.startsIn = map[time.Duration]*startCount{}
	rate := cfg.Rate
	if rate == nil {
		rate = func(time.Duration) float64 { return 1 }
	}
	if cfg.Night {
		c.arrivals = night(cfg)
	} else {
		c.arrivals = generate(cfg, rate)
	}
	c.results = make([]result, len(c.arrivals))
	c.response = make([]time.Duration, len(c.arrivals))
	c.remaining = len(c.arrivals)
	for i := range entries {
		c.entries = append(c.entries, &entry{c: c, number: i, zone: i, scheduler: scheduler.New(cfg.Settings),
			random:      rand.New(rand.NewPCG(cfg.Seed, uint64(10+i))),
			outstanding: map[wire.Incarnation]map[*dispatch]bool{}, agents: map[wire.Incarnation]*agent{}})
	}
	for i := range targets {
		a := &agent{c: c, number: i, zone: i % zones, slow: 1}
		c.agents = append(c.agents, a)
		a.hello()
	}
	return c
}

func (c *cluster) run() {
	balance := rand.New(rand.NewPCG(c.cfg.Seed, 2))
	for first := 0; first < len(c.arrivals); {
		last := first + 1
		for last < len(c.arrivals) && c.arrivals[last].job == c.arrivals[first].job {
			last++
		}
		e, from, to := c.entries[balance.IntN(entries)], first, last
		c.at(c.arrivals[first].at, func() { e.submit(from, to) })
		first = last
	}
	if c.cfg.Faults != nil {
		c.cfg.Faults(c)
	}
	for _, e := range c.entries {
		c.repeat(tickTime, e.tick)
		for _, a := range c.agents {
			c.heartbeats(e, a)
		}
	}
	c.repeat(sampleTime, c.sampleBusy)
	c.runUntil(func() bool { return c.remaining == 0 })
}

func (c *cluster) repeat(every time.Duration, run func()) {
	c.after(every, func() {
		run()
		c.repeat(every, run)
	})
}

// heartbeats sends one in each direction when nothing else was sent.
func (c *cluster) heartbeats(e *entry, a *agent) {
	if c.now-a.lastSent[e.number] >= heartbeatTime {
		load := a.load()
		id := a.id
		a.send(e, heartbeatMessage, func() {
			e.scheduler.Report(c.clock(), id, load)
			e.pump()
		})
	}
	if c.now-e.lastSent[a.number] >= heartbeatTime {
		demand := e.waiting
		e.send(a, heartbeatMessage, func() { a.demand[e.number] = demand })
	}
	due := min(a.lastSent[e.number], e.lastSent[a.number]) + heartbeatTime
	c.at(max(due, c.now+time.Millisecond), func() { c.heartbeats(e, a) })
}

// started counts a dispatch.
func (c *cluster) started(attempt int) {
	c.starts++
	span := c.now / startSpan
	if c.startsIn[span] == nil {
		c.startsIn[span] = &startCount{}
	}
	c.startsIn[span].all++
	if attempt == 0 {
		c.startsIn[span].first++
	}
}

func (c *cluster) count(kind messageKind) {
	if c.now >= warmUp && c.now < c.cfg.Duration {
		c.messages[kind]++
	}
}

// unused counts messages that led to no used answer.
func (c *cluster) unused(messages int) {
	if c.now >= warmUp && c.now < c.cfg.Duration {
		c.wasted += messages
	}
}

// end records how a task ended. An answer counts if it is in time.
func (c *cluster) end(task int, r result) {
	if c.results[task] != open {
		c.doubleEnds++
		return
	}
	if r == answered && c.now > c.arrivals[task].deadline {
		r = late
	}
	c.results[task] = r
	c.response[task] = c.now - c.arrivals[task].at
	c.remaining--
}

func (c *cluster) sorted(set map[*dispatch]bool) []*dispatch {
	var list []*dispatch
	for d := range set {
		list = append(list, d)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].task < list[j].task })
	return list
}

func (c *cluster) counted(task int) bool { return c.arrivals[task].at >= warmUp }

func isUrgent(a arrival) bool { return a.priority == job.Urgent }
