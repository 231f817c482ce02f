package capacity

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/peer"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
)

const (
	lossEntries = 6
	lossAgents  = 60
	// lossDuration is longer than the lease after which the tasks of a crashed
	// agent end as unknown.
	lossDuration = 8 * time.Second
)

// agentLoss is the simultaneous crash of the agents with the lowest incarnations,
// and what follows at the entries. A nil *agentLoss is a run without a crash.
type agentLoss struct {
	crashedAgents int
	crashedAt     time.Time
	// sentToCrashed counts the messages to crashed agents, dispatchedToCrashed
	// the tasks in them, and unknownOutcomes the answers with that outcome.
	sentToCrashed, dispatchedToCrashed, unknownOutcomes int
	// lastDispatch is the time from the crash to the last dispatch to a crashed
	// agent.
	lastDispatch time.Duration
}

// drops reports whether a message from or to the agent is lost because it has
// crashed. m is a message to the agent, which is counted, or nil for one from it.
func (l *agentLoss) drops(now time.Time, agent wire.Incarnation, m wire.Message) bool {
	if l == nil || l.crashedAt.IsZero() || agent >= agentID(l.crashedAgents) {
		return false
	}
	if m != nil {
		l.sentToCrashed++
	}
	if d, ok := m.(*wire.Dispatch); ok {
		l.dispatchedToCrashed += len(d.Tasks)
		l.lastDispatch = now.Sub(l.crashedAt)
	}
	return true
}

// countAnswer counts the answer if its outcome is unknown.
func (l *agentLoss) countAnswer(answer *job.Answer) {
	if l != nil && answer.Tasks[0].Outcome == job.Unknown {
		l.unknownOutcomes++
	}
}

// runAgentLoss crashes a number of agents under load. The entries see them
// disconnect after peer.IdleTimeout. It returns an error if a core reports a
// violation or no message was sent to a crashed agent.
func runAgentLoss(agents int) (*agentLoss, error) {
	t := newTrafficSim(lossEntries, lossAgents)
	t.loss = &agentLoss{crashedAgents: agents}
	t.submitAtRate(trafficRate * lossAgents)
	t.runFor(2 * time.Second)
	t.loss.crashedAt = t.now
	t.after(peer.IdleTimeout, func() {
		for _, core := range t.entries {
			for i := range agents {
				core.AgentDisconnected(agentID(i))
			}
		}
	})
	t.runFor(lossDuration)
	if t.violations > 0 || t.loss.sentToCrashed == 0 {
		return nil, errors.Newf("%d violations, %d messages to dead agents", t.violations, t.loss.sentToCrashed)
	}
	return t.loss, nil
}

func measureLoss(Options) ([]Measurement, error) {
	sent := Measurement{Name: "loss: messages to dead agents, 6 entries", Unit: "messages", Per: "agent"}
	tasks := Measurement{Name: "loss: tasks dispatched to dead agents", Unit: "tasks", Per: "agent"}
	unknown := Measurement{Name: "loss: tasks with an unknown outcome", Unit: "tasks", Per: "agent"}
	last := Measurement{Name: "loss: time to the last dispatch to a dead agent", Unit: "ms", Per: "agent"}
	for _, n := range []int{3, 6, 9, 12} {
		l, err := runAgentLoss(n)
		if err != nil {
			return nil, err
		}
		size := float64(n)
		sent.Points = append(sent.Points, Point{size, float64(l.sentToCrashed)})
		tasks.Points = append(tasks.Points, Point{size, float64(l.dispatchedToCrashed)})
		unknown.Points = append(unknown.Points, Point{size, float64(l.unknownOutcomes)})
		last.Points = append(last.Points, Point{size, float64(l.lastDispatch.Milliseconds())})
	}
	return []Measurement{sent, tasks, unknown, last}, nil
}
