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
	// lossWatch is longer than the lease after which tasks are unknown.
	lossWatch = 8 * time.Second
)

// loss is what follows when some agents die at once, without a word. The lowest
// incarnations die.
type loss struct {
	agents int
	at     time.Time
	// sent counts the messages to dead agents and dispatched the tasks in them.
	sent, dispatched, unknown int
	// last is the time from the death to the last dispatch to a dead agent.
	last time.Duration
}

// swallows reports whether a message from or to an agent is lost, and counts
// those to it.
func (l *loss) swallows(now time.Time, agent wire.Incarnation, m wire.Message) bool {
	if l == nil || l.at.IsZero() || agent >= agentID(l.agents) {
		return false
	}
	if m != nil {
		l.sent++
	}
	if d, ok := m.(*wire.Dispatch); ok {
		l.dispatched += len(d.Tasks)
		l.last = now.Sub(l.at)
	}
	return true
}

// answered counts the answers that state an unknown outcome.
func (l *loss) answered(answer *job.Answer) {
	if l != nil && answer.Tasks[0].Outcome == job.Unknown {
		l.unknown++
	}
}

// runLoss lets agents die under load.
func runLoss(agents int) (*loss, error) {
	t := newTraffic(lossEntries, lossAgents)
	t.loss = &loss{agents: agents}
	t.submit(trafficRate * lossAgents)
	t.runFor(2 * time.Second)
	t.loss.at = t.now
	t.after(peer.IdleTimeout, func() {
		for _, core := range t.entries {
			for i := range agents {
				core.AgentDisconnected(agentID(i))
			}
		}
	})
	t.runFor(lossWatch)
	if t.violations > 0 || t.loss.sent == 0 {
		return nil, errors.Newf("%d violations, %d messages to dead agents", t.violations, t.loss.sent)
	}
	return t.loss, nil
}

func lossFigures(Options) ([]Figure, error) {
	sent := Figure{Name: "loss: messages to dead agents, 6 entries", Unit: "messages", Per: "agent"}
	tasks := Figure{Name: "loss: tasks dispatched to dead agents", Unit: "tasks", Per: "agent"}
	unknown := Figure{Name: "loss: tasks with an unknown outcome", Unit: "tasks", Per: "agent"}
	last := Figure{Name: "loss: time to the last dispatch to a dead agent", Unit: "ms", Per: "agent"}
	for _, n := range []int{3, 6, 9, 12} {
		l, err := runLoss(n)
		if err != nil {
			return nil, err
		}
		size := float64(n)
		sent.Points = append(sent.Points, Point{size, float64(l.sent)})
		tasks.Points = append(tasks.Points, Point{size, float64(l.dispatched)})
		unknown.Points = append(unknown.Points, Point{size, float64(l.unknown)})
		last.Points = append(last.Points, Point{size, float64(l.last.Milliseconds())})
	}
	return []Figure{sent, tasks, unknown, last}, nil
}
