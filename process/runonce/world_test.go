package runonce

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/request/batch"
)

// Parameters of the world.
const (
	// timeStep is the resolution of the world and the delay of each message and call.
	timeStep = 5 * time.Millisecond
	// ticksEvery is the number of steps between two calls of Tick.
	ticksEvery = 3
	// warmUp is the time before the job is submitted, in which agents enroll and entries
	// read the log.
	warmUp = 300 * time.Millisecond
	// entryCount and agentCount are the numbers of processes.
	entryCount = 2
	agentCount = 2
	// idleTimeout is when a connection that is cut is closed, redialDelay when the next one
	// is opened.
	idleTimeout = 2 * time.Second
	redialDelay = 30 * time.Millisecond
	// slowRate is the rate of slow clocks.
	slowRate = 0.98
	// settleTime is longer than ends of runs wait to be settled, and than the longest delay
	// of a call.
	settleTime  = 3500 * time.Millisecond
	serviceName = "card"
)

// world runs entries, agents and targets in the virtual time of a synctest bubble. One
// goroutine drives the cores; those of the keepers run between two steps.
type world struct {
	scenario scenario
	epoch    time.Time
	random   *rand.Rand
	steps    int
	entries  [entryCount]*entryLife
	agents   [agentCount]*agentLife
	targets  [agentCount]*target
	links    []*link
	timers   []timer
	log      *sharedLog
	caller   caller
	oracle   oracle
	// late is the course of events that is played, or nil.
	late *lateStartRun
	// activeFaults counts the faults that have begun and not ended, placedFaults those that
	// have not begun.
	activeFaults, placedFaults int
	// mu guards the queues of the links, which the keepers' goroutines also use.
	mu sync.Mutex
}

type timer struct {
	at time.Time
	do func()
}

// link is the connection of an agent to an entry. Messages that are sent during a cut are
// delivered after it, unless the connection has ended by then.
type link struct {
	entry, agent           int
	open                   bool
	nextDial               time.Time
	cutToEntry, cutToAgent bool
	lastContact            time.Time
	toEntry, toAgent       []delivery
}

type delivery struct {
	at time.Time
	m  wire.Message
}

func now() time.Time { return time.Now().Round(0) }

// play runs a scenario and returns what it broke, with the trace if the scenario asks for it.
func play(t *testing.T, s scenario) (found []violation, trace []string) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s)
		w.run(warmUp)
		if s.busy {
			w.submitBackground()
		}
		if s.otherUnread {
			w.log.setFault(1, logFault{blind: true})
		}
		w.oracle.submittedAt = now()
		if s.late != nil {
			w.late = &lateStartRun{lateStart: *s.late, world: w, index: -1}
		}
		w.submit()
		w.placedFaults = len(s.faults)
		for _, f := range s.faults {
			w.after(f.at, func() {
				w.placedFaults--
				f.kind.begin(w, f)
			})
		}
		w.runUntilQuiet(s.horizon())
		w.shutDown()
		found, trace = w.oracle.violations(), w.oracle.trace
	})
	return found, trace
}

func newWorld(s scenario) *world {
	w := &world{scenario: s, epoch: now(), random: rand.New(rand.NewPCG(s.seed, 1)), log: newSharedLog()}
	w.oracle.world, w.oracle.submittedAt = w, w.epoch.Add(warmUp)
	for i := range w.targets {
		w.targets[i] = &target{world: w, index: i}
		w.targets[i].start(false)
	}
	for i := range w.entries {
		w.startEntry(i)
	}
	for i := range w.agents {
		w.startAgent(i)
		for e := range w.entries {
			w.links = append(w.links, &link{entry: e, agent: i})
		}
	}
	return w
}

// targetTime returns a time on the clocks of the targets, and of the agents, which may be
// slow.
func (w *world) targetTime(t time.Time) time.Time {
	if !w.scenario.slowClocks {
		return t
	}
	return w.epoch.Add(time.Duration(float64(t.Sub(w.epoch)) * slowRate))
}

func (w *world) after(d time.Duration, do func()) {
	w.timers = append(w.timers, timer{now().Add(d), do})
}

func (w *world) run(d time.Duration) {
	for end := now().Add(d); now().Before(end); {
		w.step()
	}
}

// runUntilQuiet runs the world for a time, or until nothing can start any more: the job
// has ended, and no run was alive for settleTime after the last fault.
func (w *world) runUntilQuiet(d time.Duration) {
	quietSince := now()
	for end := now().Add(d); now().Before(end) && now().Sub(quietSince) < settleTime; {
		w.step()
		if w.activeFaults+w.placedFaults > 0 || !w.jobEnded() || now().Equal(w.oracle.lastActivity) {
			quietSince = now()
		}
	}
}

// step advances the world by one step of time.
func (w *world) step() {
	time.Sleep(timeStep)
	synctest.Wait()
	w.steps++
	w.fireTimers()
	ticks := w.steps%ticksEvery == 0
	for _, target := range w.targets {
		target.step()
	}
	for _, a := range w.agents {
		a.step(ticks)
	}
	for _, l := range w.links {
		w.stepLink(l)
	}
	for _, e := range w.entries {
		if ticks && e.running() {
			e.core.Tick()
		}
	}
	w.oracle.checkOverlap()
}

func (w *world) fireTimers() {
	due := w.timers
	w.timers = nil
	for _, t := range due {
		if t.at.After(now()) {
			w.timers = append(w.timers, t)
			continue
		}
		t.do()
	}
}

// shutDown ends all goroutines of the world.
func (w *world) shutDown() {
	for _, e := range w.entries {
		e.kill()
	}
	w.log.close()
	time.Sleep(time.Minute)
	synctest.Wait()
}

// send queues a message on an open link.
func (w *world) send(entry, agent wire.Incarnation, toEntry bool, m wire.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.links {
		if !l.open || w.entries[l.entry].id != entry || w.agents[l.agent].id != agent {
			continue
		}
		d := delivery{now().Add(timeStep), m}
		if toEntry {
			l.toEntry = append(l.toEntry, d)
		} else {
			l.toAgent = append(l.toAgent, d)
		}
	}
}

// closeLink ends a connection. What has arrived at a frozen process is read when it runs
// again; all else is lost.
func (w *world) closeLink(l *link) {
	if !l.open {
		return
	}
	w.mu.Lock()
	toEntry, toAgent := l.toEntry, l.toAgent
	l.open, l.toEntry, l.toAgent = false, nil, nil
	w.mu.Unlock()
	l.nextDial = now().Add(redialDelay)
	e, a := w.entries[l.entry], w.agents[l.agent]
	if e.frozen() && !l.cutToEntry {
		for _, d := range toEntry {
			e.deliver(func() { e.receive(a.id, d.m) })
		}
	}
	if a.frozen && !l.cutToAgent {
		for _, d := range toAgent {
			a.deliver(func() { a.core.HandleMessage(e.id, d.m) })
		}
	}
	e.deliver(func() { e.core.HandleDisconnect(a.id, nil) })
	a.deliver(func() { a.core.Disconnected(e.id) })
}

// stepLink opens a link that is due, or delivers the messages that are due.
func (w *world) stepLink(l *link) {
	e, a := w.entries[l.entry], w.agents[l.agent]
	switch {
	case !e.alive || !a.alive:
		w.closeLink(l)
		return
	case !l.open:
		if !l.cutToEntry && !l.cutToAgent && e.running() && a.running() && now().After(l.nextDial) && a.core.MayEnroll() {
			l.open, l.lastContact = true, now()
			a.core.Connected(e.id)
		}
		return
	}
	if !l.cutToEntry && !l.cutToAgent {
		l.lastContact = now()
	} else if now().Sub(l.lastContact) > idleTimeout {
		w.closeLink(l)
		return
	}
	for !l.cutToEntry && e.running() {
		m, ok := w.pop(l, &l.toEntry)
		if !ok {
			break
		}
		e.receive(a.id, m)
	}
	for !l.cutToAgent && a.running() {
		m, ok := w.pop(l, &l.toAgent)
		if !ok {
			break
		}
		a.core.HandleMessage(e.id, m)
	}
}

func (w *world) pop(l *link, queue *[]delivery) (wire.Message, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !l.open || len(*queue) == 0 || (*queue)[0].at.After(now()) {
		return nil, false
	}
	m := (*queue)[0].m
	*queue = (*queue)[1:]
	return m, true
}

// jobID is the ID of the only job.
const jobID = batch.ID("00000000000000aa")

// submission returns the only job.
func (w *world) submission() batch.Submission {
	demand := batch.Resources{MilliCPU: 1000, MemoryMiB: 64}
	return batch.Submission{Service: serviceName, Queue: "q", MaxAttempts: 3, Objective: 2*w.scenario.work + 2*time.Second, CallerTimeout: 12 * time.Second,
		Job: batch.Job{ID: jobID, Spec: "s", Durable: w.scenario.durable, Steps: []batch.Step{{Tasks: 1, Demand: demand, Estimate: w.scenario.work}}}}
}

// submitBackground submits a job to the other entry that keeps all targets busy.
func (w *world) submitBackground() {
	step := batch.Step{Tasks: agentCount, Demand: backgroundWork.Demand, Estimate: backgroundWork.Duration}
	w.entries[1].core.Submit(batch.Submission{Service: serviceName, Queue: "background", MaxAttempts: 100, Objective: time.Hour, CallerTimeout: time.Hour,
		Job: batch.Job{ID: "00000000000000bb", Spec: "s", Steps: []batch.Step{step}}}, func(dispatch.Result) {})
	w.run(2 * ticksEvery * timeStep)
}
