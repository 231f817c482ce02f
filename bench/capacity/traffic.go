package capacity

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/target"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/agent"
	"github.com/azurerouter/azurerouter/process/claims"
	"github.com/azurerouter/azurerouter/process/entry"
	"github.com/azurerouter/azurerouter/process/fencing"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/version/config"
)

const (
	trafficLasts   = 20 * time.Second
	trafficLatency = time.Millisecond
	// trafficRate is the starts per second of a worker at the size of the design
	// page, 53,000 over 890 workers, and trafficRun a run time that fills 8
	// slots to 80 %.
	trafficRate  = 59.6
	trafficRun   = 107 * time.Millisecond
	trafficSlots = 8
	// trafficAgents lets a refused task be tried at another agent; the figures
	// are divided by it.
	trafficAgents = 10
)

// traffic is real agent cores connected to real entry cores in virtual time.
type traffic struct {
	now     time.Time
	events  events
	serial  int
	agents  []*agent.Core
	entries []*entry.Core
	random  *rand.Rand

	messages, control float64
	violations        int
	answered          int
	loss              *loss
}

type trafficEvent struct {
	at     time.Time
	serial int
	run    func()
}

type events []trafficEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(trafficEvent)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (t *traffic) after(delay time.Duration, run func()) {
	t.serial++
	heap.Push(&t.events, trafficEvent{t.now.Add(delay), t.serial, run})
}

// count adds a message and its bytes without inputs and outputs.
func (t *traffic) count(m wire.Message) {
	frame, err := wire.Append(nil, m)
	if err != nil {
		t.violations++
	}
	size := len(frame)
	switch m := m.(type) {
	case *wire.Dispatch:
		for _, task := range m.Tasks {
			size -= len(task.Input)
		}
	case *wire.Answers:
		for _, task := range m.Tasks {
			size -= len(task.Output)
		}
	}
	t.messages++
	t.control += float64(size)
}

type trafficEntry struct {
	*traffic
	index int
}

// Now implements entry.Env and agent.Env.
func (t *traffic) Now() time.Time { return t.now }

// Violated implements entry.Env and agent.Env.
func (t *traffic) Violated(_, _, _, _ string) { t.violations++ }

// SendAgent implements entry.Env.
func (e trafficEntry) SendAgent(to wire.Incarnation, m wire.Message) {
	e.count(m)
	if e.loss.swallows(e.now, to, m) {
		return
	}
	e.after(trafficLatency, func() { e.agents[to-agentID(0)].Received(entryID(e.index), m) })
}

// SendEntry implements entry.Env.
func (e trafficEntry) SendEntry(wire.Incarnation, wire.Message) {}

// Append implements entry.Env. The requests have no keys.
func (e trafficEntry) Append(claims.Batch) { e.violations++ }

type trafficAgent struct {
	*traffic
	index int
}

// Send implements agent.Env.
func (a trafficAgent) Send(to wire.Incarnation, m wire.Message) {
	a.count(m)
	if a.loss.swallows(a.now, agentID(a.index), nil) {
		return
	}
	a.after(trafficLatency, func() { a.entries[to-entryID(0)].AgentReceived(agentID(a.index), m) })
}

// Disconnect implements agent.Env.
func (t *traffic) Disconnect(wire.Incarnation) { t.violations++ }

// Run implements agent.Env.
func (t *traffic) Run(_ target.Call, done func(target.Result)) func() {
	t.after(trafficRun, func() { done(target.Result{Outcome: job.OK, Output: payload, Took: trafficRun}) })
	return func() {}
}

func newTraffic(entries, agents int) *traffic {
	t := &traffic{now: epoch, random: rand.New(rand.NewPCG(1, uint64(entries)))}
	for i := range agents {
		core := agent.NewCore(trafficAgent{t, i}, agent.Options{Incarnation: agentID(i), Slots: trafficSlots, Backlog: 2, Limits: fencing.DefaultLimits})
		t.agents = append(t.agents, core)
		t.every(agentTick, core.Tick)
	}
	merged, _ := config.Merge(configFolder(0))
	for i := range entries {
		core := entry.NewCore(trafficEntry{t, i}, entryID(i), entries, uint64(i))
		core.Configure(merged.Config)
		core.ClaimRecords(logclient.Page{First: 1, Next: 1})
		t.entries = append(t.entries, core)
		t.every(entryTick, core.Tick)
	}
	for i, entry := range t.entries {
		for j, agent := range t.agents {
			agent.Connected(entryID(i))
			entry.AgentConnected(wire.Hello{Role: wire.RoleAgent, Incarnation: agentID(j), Name: fmt.Sprint("agent-", j), Zone: "zone-1",
				Service: serviceName, Slots: trafficSlots})
		}
	}
	return t
}

func (t *traffic) every(interval time.Duration, run func()) {
	t.after(interval, func() { run(); t.every(interval, run) })
}

// submit sends single requests to the entries at random, at a rate per second.
func (t *traffic) submit(rate float64) {
	wait := time.Duration(t.random.ExpFloat64() / rate * float64(time.Second))
	t.after(wait, func() {
		core := t.entries[t.random.IntN(len(t.entries))]
		sub := &job.Submission{Service: serviceName, Team: "shop", Priority: job.Urgent, Deadline: t.now.Add(10 * time.Second),
			Idempotent: t.loss == nil, Single: true, Inputs: []json.RawMessage{payload}}
		core.Submit(sub, func(reply entry.Reply) {
			if reply.Answer != nil {
				t.answered++
				t.loss.answered(reply.Answer)
				t.after(trafficLatency, func() { core.Delivered(sub.Hash) })
			}
		})
		t.submit(rate)
	})
}

func (t *traffic) runFor(lasts time.Duration) {
	end := t.now.Add(lasts)
	for len(t.events) > 0 && !t.events[0].at.After(end) {
		e := heap.Pop(&t.events).(trafficEvent)
		t.now = e.at
		e.run()
	}
	t.now = end
}

// perSecond runs agents with their entries and returns messages and control
// bytes per second of one agent, both directions together.
func perSecond(entries int, rate float64) (messages, control float64, err error) {
	t := newTraffic(entries, trafficAgents)
	if rate > 0 {
		t.submit(rate * trafficAgents)
	}
	t.runFor(2 * time.Second)
	t.messages, t.control, t.answered = 0, 0, 0
	t.runFor(trafficLasts)
	if t.violations > 0 || rate > 0 && float64(t.answered) < 0.9*rate*trafficAgents*trafficLasts.Seconds() {
		return 0, 0, errors.Newf("%d violations, %d answered", t.violations, t.answered)
	}
	agentSeconds := trafficAgents * trafficLasts.Seconds()
	return t.messages / agentSeconds, t.control / agentSeconds, nil
}

func trafficFigures(Options) ([]Figure, error) {
	sizes := []int{2, 4, 8, 16, 32}
	var figures []Figure
	for _, c := range []struct {
		name string
		rate float64
	}{{"idle", 0}, {fmt.Sprintf("%g tasks/s", trafficRate), trafficRate}} {
		messages := Figure{Name: "traffic: messages per second of an agent, " + c.name, Unit: "1/s", Per: "entry"}
		control := Figure{Name: "traffic: control bytes per second, " + c.name, Unit: "B/s", Per: "entry"}
		for _, n := range sizes {
			m, b, err := perSecond(n, c.rate)
			if err != nil {
				return figures, err
			}
			messages.Points = append(messages.Points, Point{float64(n), m})
			control.Points = append(control.Points, Point{float64(n), b})
		}
		figures = append(figures, messages, control)
	}
	rates := Figure{Name: "traffic: control bytes per second, 8 entries", Unit: "B/s", Per: "task/s"}
	for _, rate := range []float64{15, 30, 60} {
		_, b, err := perSecond(8, rate)
		if err != nil {
			return figures, err
		}
		rates.Points = append(rates.Points, Point{rate, b})
	}
	return append(figures, rates), nil
}
