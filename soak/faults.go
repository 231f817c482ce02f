package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// Fault is a kind of fault that a run can inject.
type Fault string

// Kinds of faults.
const (
	KillEntry     Fault = "kill_entry"        // an entry dies and starts again later
	PauseEntry    Fault = "pause_entry"       // an entry handles no event for a while
	CutEntry      Fault = "cut_entry"         // an entry is partitioned from the network
	DrainEntry    Fault = "drain_entry"       // an entry shuts down gracefully and starts again
	KillAgent     Fault = "kill_agent"        // an agent dies and starts again later
	PauseAgent    Fault = "pause_agent"       // an agent handles no event for a while
	CutAgent      Fault = "cut_agent"         // an agent is partitioned from the network
	LeaveAgent    Fault = "leave_agent"       // an agent shuts down gracefully and starts again
	BreakConn     Fault = "break_connection"  // an agent loses about half of its connections
	DuplicateMsg  Fault = "duplicate_message" // some messages are delivered twice
	LogDown       Fault = "log_down"          // the log refuses appends and serves no reads
	LogSlow       Fault = "log_slow"          // appends take longer
	LogAnswerLost Fault = "log_answer_lost"   // the answers of some appends are lost
	LogLateAppend Fault = "log_late_append"   // some appends take effect after their answer was lost
	CancelWave    Fault = "cancel_wave"       // every open call at an entry is cancelled
)

// AllFaults returns every kind of fault.
func AllFaults() []Fault {
	return []Fault{KillEntry, PauseEntry, CutEntry, DrainEntry, KillAgent, PauseAgent, CutAgent, LeaveAgent,
		BreakConn, DuplicateMsg, LogDown, LogSlow, LogAnswerLost, LogLateAppend, CancelWave}
}

const (
	faultIntervalMin = 200 * time.Millisecond
	faultIntervalMax = 4 * time.Second
	// The durations of faults range from well below the leases to well above
	// them.
	faultDurationMin = 200 * time.Millisecond
	faultDurationMax = 9 * time.Second
	// duplicatePercent is the share of messages, in percent, that are delivered
	// again, at most duplicateDelayMax later, while DuplicateMsg is active.
	duplicatePercent  = 5
	duplicateDelayMax = 6 * time.Second
	// drainLimit is longer than the longest deadline and the longest pause
	// together.
	drainLimit = 25 * time.Second
)

// injectRandomFaults injects random faults until the end of the run. Several can
// be active at the same time.
func (sim *simulation) injectRandomFaults() {
	sim.injectRandomFault()
	sim.after(sim.randomDuration(faultIntervalMin, faultIntervalMax), "faults", func() {
		if sim.now.Before(epoch.Add(sim.options.Duration)) {
			sim.injectRandomFaults()
		}
	})
}

// injectRandomFault injects one random fault and records the step.
func (sim *simulation) injectRandomFault() {
	fault := sim.options.Faults[sim.random.IntN(len(sim.options.Faults))]
	duration := sim.randomDuration(faultDurationMin, faultDurationMax)
	e := sim.entries[sim.random.IntN(len(sim.entries))]
	a := sim.agents[sim.random.IntN(len(sim.agents))]
	step := Step{Action: string(fault), DurationMS: float64(duration) / float64(time.Millisecond)}
	switch fault {
	case KillEntry, PauseEntry, CutEntry, DrainEntry, CancelWave:
		step.Process = e.name
	case KillAgent, PauseAgent, CutAgent, LeaveAgent, BreakConn:
		step.Process = a.name
	}
	sim.recordStep(step)
	sim.inject(fault, e, a, duration)
}

// inject applies a fault. Temporary faults end after the given duration.
func (sim *simulation) inject(fault Fault, e *entryNode, a *agentNode, duration time.Duration) {
	sim.result.Injected[fault]++
	switch fault {
	case KillEntry:
		sim.killEntry(e)
	case DrainEntry:
		if e.alive && !e.paused && !e.draining {
			sim.drainEntry(e)
		}
	case KillAgent:
		sim.killAgent(a)
	case LeaveAgent:
		sim.leaveAgent(a)
	case PauseEntry:
		sim.pause(e.process, duration)
	case PauseAgent:
		sim.pause(a.process, duration)
	case CutEntry:
		sim.partition(e.process, duration)
	case CutAgent:
		sim.partition(a.process, duration)
	case BreakConn:
		sim.breakConn(a)
	case DuplicateMsg:
		sim.setFor(&sim.duplicateMessages, duration)
	case LogDown:
		sim.setFor(&sim.log.down, duration)
	case LogSlow:
		sim.setFor(&sim.log.slow, duration)
	case LogAnswerLost:
		sim.setFor(&sim.log.loseAnswers, duration)
	case LogLateAppend:
		sim.setFor(&sim.log.appendLate, duration)
		sim.setFor(&sim.log.loseAnswers, duration)
	case CancelWave:
		sim.oracle.cancelCallsAt(e)
	}
}

// setFor sets a flag and clears it after a duration.
func (sim *simulation) setFor(flag *bool, duration time.Duration) {
	*flag = true
	sim.after(duration, "fault ends", func() { *flag = false })
}

// endFaults ends all temporary faults, which could otherwise outlast the run.
func (sim *simulation) endFaults() {
	sim.log.down, sim.log.slow, sim.log.loseAnswers, sim.log.appendLate, sim.duplicateMessages = false, false, false, false, false
	for _, e := range sim.entries {
		e.partitioned = false
		e.resume()
	}
	for _, a := range sim.agents {
		a.partitioned = false
		a.resume()
	}
}

// pause stops the event handling of a process for a duration.
func (sim *simulation) pause(p *process, duration time.Duration) {
	if !p.alive || p.paused {
		return
	}
	p.paused = true
	sim.after(duration, "resume "+p.name, p.resume)
}

// partition separates a process from the network for a duration.
func (sim *simulation) partition(p *process, duration time.Duration) {
	if !p.alive || p.partitioned {
		return
	}
	p.partitioned, p.partitionedAt = true, sim.now
	sim.after(duration, "heal "+p.name, func() { p.partitioned = false })
}

// killEntry ends an entry process, which loses its calls and connections, and
// starts a new incarnation later.
func (sim *simulation) killEntry(e *entryNode) {
	if !e.alive {
		return
	}
	e.alive = false
	for c := range e.calls {
		c.connectionLost = true
	}
	sim.closeConns(e.process, e.agents, e.peers)
	sim.after(sim.randomDuration(restartDelayMin, restartDelayMax), "boot "+e.name, func() { e.boot(sim, e.name) })
}

// drainEntry shuts an entry down gracefully: every call in flight must be
// answered before the process ends.
func (sim *simulation) drainEntry(e *entryNode) {
	e.draining = true
	e.core.Drain()
	drainStarted := sim.now
	e.runEvery(50*time.Millisecond, "drain", func() {
		if e.core.ActiveJobs() == 0 && len(e.calls) == 0 {
			sim.killEntry(e)
			return
		}
		if sim.now.Sub(drainStarted) > drainLimit {
			sim.recordViolation("G7 %s has %d calls unanswered %v after its drain began", e.name, len(e.calls), drainLimit)
			sim.killEntry(e)
		}
	})
}

// killAgent ends an agent process, which loses its connections, and starts a new
// incarnation later.
func (sim *simulation) killAgent(a *agentNode) {
	if !a.alive {
		return
	}
	a.alive = false
	sim.closeConns(a.process, a.entries)
	sim.after(sim.randomDuration(restartDelayMin, restartDelayMax), "boot "+a.name, func() { a.boot(sim, a.name) })
}

// leaveAgent shuts an agent down gracefully. It ends when it is drained, at the
// latest after 20 s.
func (sim *simulation) leaveAgent(a *agentNode) {
	if !a.alive || a.paused || a.leaving {
		return
	}
	dump := a.core.Dump()
	a.leaving, a.leftAt, a.remainingStarts = true, sim.now, dump.Running+dump.Queued
	a.core.Leave()
	a.runEvery(50*time.Millisecond, "leave", func() {
		if a.core.Drained() || sim.now.Sub(a.leftAt) > 20*time.Second {
			sim.killAgent(a)
		}
	})
}

// closeConns closes the connections of a dead process.
func (sim *simulation) closeConns(p *process, conns ...map[wire.Incarnation]*connEnd) {
	for _, byPeer := range conns {
		for _, inc := range sortedKeys(byPeer) {
			sim.close(byPeer[inc].conn)
		}
	}
}

// breakConn closes each connection of an agent with a probability of 50 %.
func (sim *simulation) breakConn(a *agentNode) {
	for _, inc := range sortedKeys(a.entries) {
		if sim.chance(50) {
			sim.close(a.entries[inc].conn)
		}
	}
}

// maybeDuplicate delivers some messages a second time while DuplicateMsg is active.
// Like a delayed packet, the duplicate goes to the incarnation of the receiving
// instance that runs by then.
func (sim *simulation) maybeDuplicate(from string, to *connEnd, m wire.Message) {
	if !sim.duplicateMessages || !sim.chance(duplicatePercent) {
		return
	}
	switch m.(type) {
	case *wire.Dispatch, *wire.Answers, *wire.Cancel, *wire.Fenced, *wire.QueryReply:
	default:
		return
	}
	name := to.process.name
	sim.after(sim.randomDuration(0, duplicateDelayMax), "duplicate "+name, func() {
		for _, a := range sim.agents {
			for _, inc := range sortedKeys(a.entries) {
				if remote := a.entries[inc]; a.name == name && remote.process.name == from {
					sim.send(remote.other(), m)
				}
			}
		}
		for _, e := range sim.entries {
			for _, inc := range sortedKeys(e.agents) {
				if remote := e.agents[inc]; e.name == name && remote.process.name == from {
					sim.send(remote.other(), m)
				}
			}
			for _, inc := range sortedKeys(e.peers) {
				if remote := e.peers[inc]; e.name == name && remote.process.name == from {
					sim.send(remote.other(), m)
				}
			}
		}
	})
}

// ParseFaults parses a comma-separated list of fault kinds, or "all". The error
// names an unknown kind.
func ParseFaults(list string) ([]Fault, error) {
	if list == "all" {
		return AllFaults(), nil
	}
	var kinds []Fault
	for _, name := range strings.Split(list, ",") {
		kind := Fault(strings.TrimSpace(name))
		if !slices.Contains(AllFaults(), kind) {
			return nil, errors.Newf("unknown fault %q, expected some of %v", kind, AllFaults())
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}
