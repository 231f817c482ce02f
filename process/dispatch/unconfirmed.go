package dispatch

import (
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/request/batch"
)

// unconfirmedStart is a run that was ordered with the message of the sequence number.
type unconfirmedStart struct {
	sequence uint64
	run      *run
}

// confirmStarts notes which starts the target has answered. A run of which a start stays
// without an answer is never confirmed.
func (t *target) confirmStarts(m *wire.AgentReport) {
	for len(t.unconfirmed) > 0 && t.unconfirmed[0].sequence <= m.ConfirmedSequence {
		r := t.unconfirmed[0].run
		t.unconfirmed = t.unconfirmed[1:]
		r.startConfirmed = true
	}
	for _, id := range m.UnansweredStarts {
		if r := t.runs[id]; r != nil {
			r.startConfirmed = false
		}
	}
}

// isGone reports whether the agent has been disconnected and silent for so long that the
// target is kept only because of its unconfirmed runs.
func (t *target) isGone(now time.Time) bool {
	return !t.connected && now.Sub(t.lastReceived) > wire.RunsLostAfter+maxCatchUp
}

// endRunsOfSilentAgent ends the runs of an agent that has been silent for longer than is
// tolerated. A run whose start is not confirmed may begin later, at a target that has
// restarted while nobody fences it: its task waits until the agent reports again or
// wire.UnconfirmedRunsLostAfter has passed.
func (c *Core) endRunsOfSilentAgent(now time.Time, p *pool, t *target) {
	silence := now.Sub(t.lastReceived)
	excess := silence - c.pauses.toleratedSilence(now)
	var lost []*run
	withheld := 0
	for _, r := range t.runs {
		switch {
		case r.startConfirmed || excess > wire.UnconfirmedRunsLostAfter-wire.RunsLostAfter:
			lost = append(lost, r)
		case !r.withheld:
			r.withheld = true
			withheld++
		}
	}
	if withheld > 0 {
		c.counters.runsWithheld.Add(uint64(withheld))
		c.env.Record(decision.Decision{Step: "agent", Peer: t.node, Outcome: "runs_withheld", Reason: "agent silent, starts not confirmed",
			Age: silence, Inputs: []decision.Input{{Name: "runs", Value: int64(withheld)}}})
	}
	if len(lost) == 0 {
		return
	}
	c.env.Record(decision.Decision{Step: "agent", Peer: t.node, Outcome: "runs_lost", Reason: "agent silent",
		Age: silence, Inputs: []decision.Input{{Name: "runs", Value: int64(len(lost))}}})
	slices.SortFunc(lost, func(a, b *run) int { return batch.Run.Compare(a.id(), b.id()) })
	for _, r := range lost {
		c.runEnded(now, p, r, batch.EndLost)
	}
}

// runWithheld handles the report that the task of a run may not start elsewhere for a time,
// although the run has ended or was withdrawn.
func (c *Core) runWithheld(now time.Time, p *pool, r *run, remaining time.Duration) {
	r.startConfirmed = false
	if !r.withheld {
		r.withheld = true
		c.counters.runsWithheld.Add(1)
	}
	c.giveUpIfTooLate(now, p, r.task.job, now.Add(remaining))
}

// giveUpIfTooLate answers the callers of a job at once if one of its tasks may start again only
// when the answer is of no more use.
func (c *Core) giveUpIfTooLate(now time.Time, p *pool, j *activeJob, startsAt time.Time) {
	if j.durableState == nil && !j.ended && startsAt.After(j.expiresAt) {
		c.endJob(now, p, j, unfinishedResult(j, ReasonRunsElsewhere))
	}
}

// lateStartRetention is how long a late start of another entry is remembered. It is longer
// than such a start can be on its way.
const lateStartRetention = wire.UnconfirmedRunsLostAfter

// noteLateStart notes that a start of a run that another entry has ordered may be carried out
// late. The job of the run, which may have come to this entry, starts no task before it is
// over.
func (c *Core) noteLateStart(now time.Time, p *pool, id batch.Run, over time.Time) {
	p.lateStarts.add(now, id, over, lateStartRetention)
	if j := p.jobs[id.Task.Job]; j != nil {
		c.awaitLateStarts(now, p, j)
	}
}

// awaitLateStarts holds a job until the late starts of its runs are over.
func (c *Core) awaitLateStarts(now time.Time, p *pool, j *activeJob) {
	over := p.lateStartsOver(j.Job.ID, j)
	if !over.After(now) {
		return
	}
	j.lateStartsOver = over
	c.env.Record(decision.Decision{Step: "place", Job: j.Job.ID, Outcome: "held", Reason: "a start that another entry ordered may be carried out late",
		Age: over.Sub(now)})
	c.giveUpIfTooLate(now, p, j, over)
}

// lateStartsOver returns when no start of a run of a job that another entry has ordered can be
// carried out any more, or zero. Tasks that are done do not start again; j is nil if the job is
// not active here.
func (p *pool) lateStartsOver(id batch.ID, j *activeJob) time.Time {
	var over time.Time
	for _, run := range p.lateStarts.ofJob(id) {
		if j != nil && j.isDone(run.Task) {
			continue
		}
		over = later(over, p.lateStarts.values[run])
	}
	return over
}

func (j *activeJob) isDone(id batch.Task) bool {
	t := j.task(id.Step, id.Index)
	return t != nil && t.done
}

// noteReplacement notes which target is beside the agent now. Another target refuses the
// starts that were sent to the former one, so that none of them begins a run any more.
func (t *target) noteReplacement(present string) {
	if present == "" || present == t.state.Target {
		return
	}
	for _, r := range t.runs {
		r.startConfirmed = true
	}
}

// retireTarget removes a target whose agent is not used any more, and ends its runs as lost.
// A run whose start is not confirmed may begin later, whichever agent has fenced the target
// since, as a restart of the target undoes that: it stays with a copy of the target that
// takes no orders, until wire.UnconfirmedRunsLostAfter has passed.
func (c *Core) retireTarget(now time.Time, p *pool, t *target) {
	p.deleteTarget(t)
	retired := &target{agent: t.agent, node: t.node, zone: t.zone, state: t.state, lastReceived: t.lastReceived, speed: t.speed,
		retired: true, runs: make(map[batch.Run]*run)}
	for _, r := range batch.SortedByRun(t.runs) {
		if r.startConfirmed {
			c.runEnded(now, p, r, batch.EndLost)
			continue
		}
		delete(t.runs, r.id())
		retired.runs[r.id()], r.target = r, retired
	}
	if len(retired.runs) == 0 {
		return
	}
	p.targetList = append(p.targetList, retired)
	freeAt := t.lastReceived.Add(wire.UnconfirmedRunsLostAfter)
	c.env.Record(decision.Decision{Step: "agent", Peer: t.node, Outcome: "runs_withheld", Reason: "agent replaced, starts not confirmed",
		Age: now.Sub(t.lastReceived), Inputs: []decision.Input{{Name: "runs", Value: int64(len(retired.runs))}}})
	for _, r := range batch.SortedByRun(retired.runs) {
		c.runWithheld(now, p, r, freeAt.Sub(now))
	}
}

// hasUnconfirmedRuns reports whether a run of an earlier submission of a job may still begin.
func (p *pool) hasUnconfirmedRuns(id batch.ID) bool {
	if !p.retainedAnswers[id].mayHaveRun {
		return false
	}
	for _, t := range p.targetList {
		for run, r := range t.runs {
			if run.Task.Job == id && !r.startConfirmed {
				return true
			}
		}
	}
	return false
}
