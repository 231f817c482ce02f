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
		r.startConfirmed = !slices.Contains(m.UnansweredStarts, r.id())
	}
}

// isGone reports whether the agent has been disconnected and silent for so long that the
// target is kept only because of its unconfirmed runs.
func (t *target) isGone(now time.Time) bool {
	return !t.connected && now.Sub(t.lastReceived) > wire.RunsLostAfter+maxCatchUp
}

// endRunsOfSilentAgent ends the runs of an agent that has been silent for longer than is
// tolerated. A run whose start is not confirmed may begin later, at a target that has
// restarted while nobody fences it: its task waits until an agent on the instance reports
// again or wire.UnconfirmedRunsLostAfter has passed.
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
