package runonce

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// scenario is one course of events: a kind of job and the faults that are placed in it.
type scenario struct {
	seed    uint64
	durable bool
	// work is how long the task runs; fails makes its runs fail.
	work  time.Duration
	fails bool
	// slowClocks makes the clocks of targets and agents 2 % slow.
	slowClocks bool
	// lateCallsGrant makes a call that is carried out late grant a lease from then on.
	lateCallsGrant bool
	// otherUnread keeps the other entry from reading the log from before the job is
	// submitted, of which it learns nothing.
	otherUnread bool
	// busy gives each target a run of the other entry, which keeps its lease from lapsing.
	busy   bool
	faults []fault
	// late is the course of events in place of faults, or nil.
	late  *lateStart
	trace bool
}

// horizon is the longest time from the submission to the end of a scenario.
func (s scenario) horizon() time.Duration {
	if s.late != nil {
		return lateStartHorizon
	}
	return 16 * time.Second
}

// calm reports whether no fault is a disruption by the rules.
func (s scenario) calm() bool {
	return s.late == nil && !slices.ContainsFunc(s.faults, func(f fault) bool { return !f.kind.starvation })
}

func (s scenario) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "durable=%v work=%v fails=%v slow=%v grants=%v unread=%v busy=%v seed=%d:", s.durable, s.work, s.fails, s.slowClocks, s.lateCallsGrant,
		s.otherUnread, s.busy, s.seed)
	for _, f := range s.faults {
		fmt.Fprintf(&b, " %v %s/%v", f.at, f.kind.name, f.duration)
	}
	return b.String()
}

// fault is a fault that begins at a time after the submission of the job.
type fault struct {
	kind     *faultKind
	at       time.Duration
	duration time.Duration
}

// faultKind is a kind of fault. begin starts it; it ends itself after the duration.
type faultKind struct {
	name      string
	durations []time.Duration
	begin     func(*world, fault)
	// durableOnly and nonDurableOnly limit the kinds of jobs with which it is played.
	durableOnly, nonDurableOnly bool
	// starvation is set for a fault that is no disruption by the rules: an end counts then
	// endCountsAfter after its target has listed it.
	starvation bool
}

func ms(values ...int) []time.Duration {
	var durations []time.Duration
	for _, v := range values {
		durations = append(durations, time.Duration(v)*time.Millisecond)
	}
	return durations
}

// faultKinds returns the faults that are played. Those of an entry hit the one that
// accepted the job, those of an agent and of a target the ones where the task runs.
func faultKinds() []*faultKind {
	return []*faultKind{
		{name: "freeze_entry", durations: ms(400, 800, 1400, 2400, 4600, 7000), begin: func(w *world, f fault) { w.freezeEntry(f, 0, false) }},
		{name: "freeze_entry_tick_first", durations: ms(400, 800, 1400, 2400, 4600, 7000), begin: func(w *world, f fault) { w.freezeEntry(f, 0, true) }},
		{name: "freeze_other_entry", durations: ms(800, 2400, 5000), begin: func(w *world, f fault) { w.freezeEntry(f, 1, true) }},
		{name: "kill_entry", durations: ms(200, 2000), begin: killEntry},
		{name: "freeze_agent", durations: ms(400, 800, 1400, 2400), begin: freezeAgent},
		{name: "kill_agent", durations: ms(50, 600, 2000), begin: killAgent},
		{name: "cut_entry", durations: ms(400, 800, 1400, 1900, 2600), begin: func(w *world, f fault) {
			w.cut(f, func(l *link) bool { return l.entry == 0 }, true, true)
		}},
		{name: "cut_agent", durations: ms(400, 1400, 1900, 2600), begin: func(w *world, f fault) {
			holder := w.holder()
			w.cut(f, func(l *link) bool { return l.agent == holder }, true, true)
		}},
		{name: "cut_to_entry", durations: ms(400, 1400, 1900), begin: func(w *world, f fault) {
			w.cut(f, func(l *link) bool { return l.entry == 0 }, true, false)
		}},
		{name: "cut_to_agents", durations: ms(400, 1400, 1900), begin: func(w *world, f fault) {
			w.cut(f, func(l *link) bool { return l.entry == 0 }, false, true)
		}},
		{name: "reset_entry", durations: ms(0), begin: resetEntry},
		{name: "late_starts", durations: ms(300, 900), begin: func(w *world, f fault) { w.failCalls(f, f.duration, startCalls) }},
		{name: "lost_stops", durations: ms(500, 2000), begin: func(w *world, f fault) { w.failCalls(f, -1, stopCalls) }},
		{name: "late_stops", durations: ms(600), begin: func(w *world, f fault) { w.failCalls(f, f.duration, stopCalls) }},
		{name: "late_holds", durations: ms(300, 900), begin: func(w *world, f fault) { w.failCalls(f, f.duration, holdCalls) }},
		{name: "late_calls", durations: ms(300, 600, 1000, 2000), begin: func(w *world, f fault) { w.failCalls(f, f.duration, startCalls, stopCalls, holdCalls) }},
		{name: "lost_answers", durations: ms(300, 1500), begin: func(w *world, f fault) { w.failCalls(f, 0, startCalls, stopCalls, holdCalls) }},
		{name: "crash_target", durations: ms(50, 600), begin: func(w *world, f fault) { w.crashTarget(f, false) }},
		{name: "restart_target", durations: ms(0, 50, 600), begin: func(w *world, f fault) { w.crashTarget(f, true) }},
		{name: "appends_unanswered", durations: ms(300, 1500, 2500, 5000), durableOnly: true, begin: func(w *world, f fault) {
			w.failLog(f, logFault{unanswered: true})
		}},
		{name: "appends_late", durations: ms(300, 1500, 2500), durableOnly: true, begin: func(w *world, f fault) {
			w.failLog(f, logFault{unanswered: true, delay: f.duration})
		}},
		{name: "log_lost", durations: ms(1000, 2500, 5000, 7000), durableOnly: true, begin: func(w *world, f fault) {
			w.failLog(f, logFault{unanswered: true, delay: -1, blind: true})
		}},
		{name: "log_unread", durations: ms(1000, 2500, 5000), durableOnly: true, begin: func(w *world, f fault) {
			w.failLog(f, logFault{blind: true})
		}},
		{name: "submitted_twice", durations: ms(0), durableOnly: true, begin: func(w *world, _ fault) { w.submitDurable(5) }},
		{name: "caller_leaves", durations: ms(0), nonDurableOnly: true, begin: func(w *world, _ fault) { w.breakConnection(0, true) }},
	}
}

// callerLeavesUnnoticed is a broken connection of which only the caller learns. It is
// played in a test of its own.
func callerLeavesUnnoticed() *faultKind {
	return &faultKind{name: "caller_leaves_unnoticed", durations: ms(0), nonDurableOnly: true, begin: func(w *world, _ fault) { w.breakConnection(0, false) }}
}

// silence is a cut between an agent and the entry that ends between the end of the job elsewhere and the time
// after which the agent voids the ends that it holds.
func silence() *faultKind {
	return &faultKind{name: "silence", durations: ms(2050, 2150, 2250), begin: func(w *world, f fault) {
		holder := w.holder()
		w.cut(f, func(l *link) bool { return l.agent == holder && l.entry == 0 }, true, true)
	}}
}

// starvationKinds returns faults of an entry that lacks processor time: it runs for
// starvedSlot after each pause, and passes over its timers before it reads what has arrived.
func starvationKinds() []*faultKind {
	var kinds []*faultKind
	for _, pause := range ms(300, 600, 1000, 1500) {
		kinds = append(kinds, &faultKind{name: fmt.Sprintf("starve_%d", pause.Milliseconds()), durations: ms(1500, 3000, 6000), starvation: true,
			begin: func(w *world, f fault) { w.starveEntry(f, pause) }})
	}
	return kinds
}

// starvedSlot is how long a starved entry runs between two pauses.
const starvedSlot = 2 * timeStep

func (w *world) starveEntry(f fault, pause time.Duration) {
	over := false
	var cycle func()
	cycle = func() {
		e := w.entries[0]
		if over || !e.alive {
			return
		}
		e.freeze.begin()
		w.after(pause, func() {
			e.thaw(true)
			w.after(starvedSlot, cycle)
		})
	}
	cycle()
	w.end(f, func() { over = true })
}

// ownerFaultKinds returns faults of an owner that resumes, and does not read the log: about
// when the other entry takes its job over, 5.7 s after the submission, on a fine grid, or
// with an append that was under way when it was frozen or was repeated since.
func ownerFaultKinds() []*faultKind {
	durations := grid(5600*time.Millisecond, timeStep)[5300*time.Millisecond/timeStep:]
	return []*faultKind{
		{name: "resume_unread", durations: durations, durableOnly: true, begin: func(w *world, f fault) {
			w.log.setFault(0, logFault{blind: true})
			w.freezeEntry(f, 0, true)
			w.after(f.duration+resumedFor, func() { w.log.setFault(0, logFault{}) })
		}},
		{name: "resume_and_lose_log", durations: durations, durableOnly: true, begin: func(w *world, f fault) {
			w.log.setFault(0, logFault{blind: true})
			w.freezeEntry(f, 0, true)
			w.after(f.duration+4*timeStep, func() { w.log.setFault(0, logFault{unanswered: true, delay: -1, blind: true}) })
			w.after(f.duration+resumedFor, func() { w.log.setFault(0, logFault{}) })
		}},
		{name: "resume_without_log_and_stops", durations: ms(5485, 5490, 5495, 5500, 5505), durableOnly: true, begin: func(w *world, f fault) {
			w.log.setFault(0, logFault{blind: true})
			w.freezeEntry(f, 0, true)
			w.after(f.duration+4*timeStep, func() { w.log.setFault(0, logFault{unanswered: true, delay: -1, blind: true}) })
			for _, t := range w.targets {
				t.faults[stopCalls] = callFault{active: true, delay: -1}
			}
		}},
		{name: "freeze_with_append", durations: ms(1500, 3000, 5800, 6500, 7300, 8000), durableOnly: true, begin: func(w *world, f fault) {
			w.entries[0].keeper.NoteProgress(jobID)
			w.after(timeStep, func() {
				w.log.setFault(0, logFault{unanswered: true, delay: -1, blind: true})
				w.freezeEntry(f, 0, true)
			})
			w.after(f.duration+resumedFor, func() { w.log.setFault(0, logFault{}) })
		}},
		{name: "append_repeated", durations: ms(3000, 5500, 7300, 7600, 8000), durableOnly: true, begin: func(w *world, f fault) {
			w.log.setFault(0, logFault{unanswered: true, blind: true})
			w.entries[0].keeper.NoteProgress(jobID)
			w.end(f, func() { w.log.setFault(0, logFault{blind: true}) })
			w.after(f.duration+resumedFor, func() { w.log.setFault(0, logFault{}) })
		}},
	}
}

// resumedFor is how long an owner that has resumed does not read the log.
const resumedFor = 3 * time.Second

// holder returns the index of the target that runs the task, or that ran it last.
func (w *world) holder() int {
	for _, t := range w.targets {
		if len(t.running()) > 0 {
			return t.index
		}
	}
	if n := len(w.oracle.starts); n > 0 {
		for _, t := range w.targets {
			if t.executor.ID == w.oracle.starts[n-1].target {
				return t.index
			}
		}
	}
	return 0
}

// end calls do when the fault is over.
func (w *world) end(f fault, do func()) {
	w.oracle.log("FAULT %s/%v", f.kind.name, f.duration)
	w.activeFaults++
	w.after(f.duration, func() {
		w.oracle.log("FAULT %s/%v ends", f.kind.name, f.duration)
		w.activeFaults--
		do()
	})
}

func (w *world) freezeEntry(f fault, index int, tickFirst bool) {
	e := w.entries[index]
	if e.alive {
		e.freeze.begin()
	}
	w.end(f, func() { e.thaw(tickFirst) })
}

func killEntry(w *world, f fault) {
	w.entries[0].kill()
	w.breakConnection(0, false)
	w.end(f, func() {
		if !w.entries[0].alive {
			w.startEntry(0)
		}
	})
}

func freezeAgent(w *world, f fault) { w.freezeAgentAt(w.holder(), f) }

func (w *world) freezeAgentAt(index int, f fault) {
	a := w.agents[index]
	a.frozen = true
	w.end(f, a.thaw)
}

func killAgent(w *world, f fault) { w.killAgentAt(w.holder(), f) }

func (w *world) killAgentAt(index int, f fault) {
	a := w.agents[index]
	a.kill()
	w.end(f, func() {
		if !w.agents[a.index].alive {
			w.startAgent(a.index)
		}
	})
}

// cut interrupts the matching links in one or both directions.
func (w *world) cut(f fault, matches func(*link) bool, toEntry, toAgent bool) {
	set := func(cut bool) {
		for _, l := range w.links {
			if matches(l) {
				l.cutToEntry, l.cutToAgent = cut && toEntry, cut && toAgent
			}
		}
	}
	set(true)
	w.end(f, func() { set(false) })
}

// resetEntry resets the connections of an entry to agents and to its caller.
func resetEntry(w *world, f fault) {
	for _, l := range w.links {
		if l.entry == 0 {
			w.closeLink(l)
		}
	}
	w.breakConnection(0, true)
	w.end(f, func() {})
}

// failCalls leaves calls to a target without an answer. They are carried out after a delay,
// or never if it is negative.
func (w *world) failCalls(f fault, delay time.Duration, kinds ...callKind) {
	t := w.targets[w.holder()]
	set := func(c callFault) {
		for _, kind := range kinds {
			t.faults[kind] = c
		}
	}
	set(callFault{active: true, delay: delay})
	w.end(f, func() { set(callFault{}) })
}

// crashTarget crashes a target, which starts again under the same identity or another one.
func (w *world) crashTarget(f fault, sameIdentity bool) { w.crashTargetAt(w.holder(), f, sameIdentity) }

func (w *world) crashTargetAt(index int, f fault, sameIdentity bool) {
	t := w.targets[index]
	t.executor.Crash()
	w.end(f, func() {
		if t.executor.Crashed {
			t.start(sameIdentity)
			t.report()
		}
	})
}

func (w *world) failLog(f fault, l logFault) {
	w.log.setFault(0, l)
	w.end(f, func() { w.log.setFault(0, logFault{}) })
}
