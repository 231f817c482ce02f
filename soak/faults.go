package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// Fault is a kind of fault that a run injects.
type Fault string

// Kinds of faults.
const (
	KillEntry     Fault = "kill_entry"
	PauseEntry    Fault = "pause_entry"
	CutEntry      Fault = "cut_entry"
	DrainEntry    Fault = "drain_entry"
	KillAgent     Fault = "kill_agent"
	PauseAgent    Fault = "pause_agent"
	CutAgent      Fault = "cut_agent"
	LeaveAgent    Fault = "leave_agent"
	BreakConn     Fault = "break_connection"
	DuplicateMsg  Fault = "duplicate_message"
	LogDown       Fault = "log_down"
	LogSlow       Fault = "log_slow"
	LogAnswerLost Fault = "log_answer_lost"
	LogLateAppend Fault = "log_late_append"
	CancelWave    Fault = "cancel_wave"
)

// AllFaults lists every kind.
func AllFaults() []Fault {
	return []Fault{KillEntry, PauseEntry, CutEntry, DrainEntry, KillAgent, PauseAgent, CutAgent, LeaveAgent,
		BreakConn, DuplicateMsg, LogDown, LogSlow, LogAnswerLost, LogLateAppend, CancelWave}
}

const (
	faultIntervalMin = 200 * time.Millisecond
	faultIntervalMax = 4 * time.Second
	// Faults last from well below the leases to well above them.
	faultLastsMin = 200 * time.Millisecond
	faultLastsMax = 9 * time.Second
	// duplicatePercent of messages are repeated while that fault is on.
	duplicatePercent = 5
	duplicateDelay   = 6 * time.Second
	// drainLimit exceeds the longest deadline and the longest pause together.
	drainLimit = 25 * time.Second
)

// faults injects one fault after another. Several may last at the same time.
func (w *world) faults() {
	w.drawFault()
	w.after(w.duration(faultIntervalMin, faultIntervalMax), "faults", func() {
		if w.now.Before(epoch.Add(w.options.Duration)) {
			w.faults()
		}
	})
}

func (w *world) drawFault() {
	fault := w.options.Faults[w.random.IntN(len(w.options.Faults))]
	lasts := w.duration(faultLastsMin, faultLastsMax)
	e := w.entries[w.random.IntN(len(w.entries))]
	a := w.agents[w.random.IntN(len(w.agents))]
	step := Step{Do: string(fault), LastsMS: float64(lasts) / float64(time.Millisecond)}
	switch fault {
	case KillEntry, PauseEntry, CutEntry, DrainEntry, CancelWave:
		step.Process = e.name
	case KillAgent, PauseAgent, CutAgent, LeaveAgent, BreakConn:
		step.Process = a.name
	}
	w.record(step)
	w.inject(fault, e, a, lasts)
}

func (w *world) inject(fault Fault, e *entryNode, a *agentNode, lasts time.Duration) {
	w.result.Injected[fault]++
	switch fault {
	case KillEntry:
		w.killEntry(e)
	case DrainEntry:
		if e.alive && !e.paused && !e.draining {
			w.drainEntry(e)
		}
	case KillAgent:
		w.killAgent(a)
	case LeaveAgent:
		w.leaveAgent(a)
	case PauseEntry:
		w.pause(e.process, lasts)
	case PauseAgent:
		w.pause(a.process, lasts)
	case CutEntry:
		w.cut(e.process, lasts)
	case CutAgent:
		w.cut(a.process, lasts)
	case BreakConn:
		w.breakConn(a)
	case DuplicateMsg:
		w.switchOn(&w.duplicates, lasts)
	case LogDown:
		w.switchOn(&w.log.down, lasts)
	case LogSlow:
		w.switchOn(&w.log.slow, lasts)
	case LogAnswerLost:
		w.switchOn(&w.log.lose, lasts)
	case LogLateAppend:
		w.switchOn(&w.log.late, lasts)
		w.switchOn(&w.log.lose, lasts)
	case CancelWave:
		w.oracle.cancelWave(e)
	}
}

func (w *world) switchOn(what *bool, lasts time.Duration) {
	*what = true
	w.after(lasts, "fault ends", func() { *what = false })
}

// heal ends the faults that could otherwise outlast the run.
func (w *world) heal() {
	w.log.down, w.log.slow, w.log.lose, w.log.late, w.duplicates = false, false, false, false, false
	for _, e := range w.entries {
		e.cut = false
		e.resume()
	}
	for _, a := range w.agents {
		a.cut = false
		a.resume()
	}
}

func (w *world) pause(p *process, lasts time.Duration) {
	if !p.alive || p.paused {
		return
	}
	p.paused = true
	w.after(lasts, "resume "+p.name, p.resume)
}

func (w *world) cut(p *process, lasts time.Duration) {
	if !p.alive || p.cut {
		return
	}
	p.cut, p.cutAt = true, w.now
	w.after(lasts, "heal "+p.name, func() { p.cut = false })
}

func (w *world) killEntry(e *entryNode) {
	if !e.alive {
		return
	}
	e.alive = false
	for c := range e.calls {
		c.lost = true
	}
	w.endConns(e.process, e.agents, e.peers)
	w.after(w.duration(restartMin, restartMax), "boot "+e.name, func() { e.boot(w, e.name) })
}

// drainEntry shuts an entry down gracefully: every call in flight must be
// answered before the process ends.
func (w *world) drainEntry(e *entryNode) {
	e.draining = true
	e.core.Drain()
	began := w.now
	e.every(50*time.Millisecond, "drain", func() {
		if e.core.ActiveJobs() == 0 && len(e.calls) == 0 {
			w.killEntry(e)
			return
		}
		if w.now.Sub(began) > drainLimit {
			w.violated("G7 %s has %d calls unanswered %v after its drain began", e.name, len(e.calls), drainLimit)
			w.killEntry(e)
		}
	})
}

func (w *world) killAgent(a *agentNode) {
	if !a.alive {
		return
	}
	a.alive = false
	w.endConns(a.process, a.entries)
	w.after(w.duration(restartMin, restartMax), "boot "+a.name, func() { a.boot(w, a.name) })
}

func (w *world) leaveAgent(a *agentNode) {
	if !a.alive || a.paused || a.leaving {
		return
	}
	held := a.core.Dump()
	a.leaving, a.leftAt, a.accepted = true, w.now, held.Running+held.Queued
	a.core.Leave()
	a.every(50*time.Millisecond, "leave", func() {
		if a.core.Drained() || w.now.Sub(a.leftAt) > 20*time.Second {
			w.killAgent(a)
		}
	})
}

// endConns closes the connections of a process that has died.
func (w *world) endConns(p *process, ends ...map[wire.Incarnation]*connEnd) {
	for _, byPeer := range ends {
		for _, inc := range sortedKeys(byPeer) {
			w.close(byPeer[inc].conn)
		}
	}
}

func (w *world) breakConn(a *agentNode) {
	for _, inc := range sortedKeys(a.entries) {
		if w.chance(50) {
			w.close(a.entries[inc].conn)
		}
	}
}

// duplicate repeats a message later, to whatever incarnation then runs at the
// same instance, as a delayed packet would.
func (w *world) duplicate(from string, to *connEnd, m wire.Message) {
	if !w.duplicates || !w.chance(duplicatePercent) {
		return
	}
	switch m.(type) {
	case *wire.Dispatch, *wire.Answers, *wire.Cancel, *wire.Fenced, *wire.QueryReply:
	default:
		return
	}
	name := to.process.name
	w.after(w.duration(0, duplicateDelay), "duplicate "+name, func() {
		for _, a := range w.agents {
			for _, inc := range sortedKeys(a.entries) {
				if far := a.entries[inc]; a.name == name && far.process.name == from {
					w.send(far.other(), m)
				}
			}
		}
		for _, e := range w.entries {
			for _, inc := range sortedKeys(e.agents) {
				if far := e.agents[inc]; e.name == name && far.process.name == from {
					w.send(far.other(), m)
				}
			}
			for _, inc := range sortedKeys(e.peers) {
				if far := e.peers[inc]; e.name == name && far.process.name == from {
					w.send(far.other(), m)
				}
			}
		}
	})
}

// ParseFaults reads a comma-separated list of kinds, or "all".
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
