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
	trafficDuration = 20 * time.Second
	trafficLatency  = time.Millisecond // one-way
	// trafficRate is the rate of task starts of one agent at the size of the
	// design page, 53,000 per second over 890 agents. trafficRunTime keeps 8
	// slots 80 % busy at this rate.
	trafficRate    = 59.6
	trafficRunTime = 107 * time.Millisecond
	trafficSlots   = 8
	// trafficAgents is more than one, so that a refused task can be retried at
	// another agent; results are divided by it.
	trafficAgents = 10
)

// trafficSim connects real agent cores to real entry cores in virtual time.
type trafficSim struct {
	now          time.Time
	events       eventHeap
	lastSequence int
	agents       []*agent.Core
	entries      []*entry.Core
	random       *rand.Rand

	messagesSent, controlBytes float64
	violations                 int
	answers                    int
	loss                       *agentLoss
}

// trafficEvent is a function that runs at a virtual time. sequence orders events of
// the same time.
type trafficEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []trafficEvent

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(trafficEvent)) }
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (t *trafficSim) after(delay time.Duration, run func()) {
	t.lastSequence++
	heap.Push(&t.events, trafficEvent{t.now.Add(delay), t.lastSequence, run})
}

// countMessage counts a message, and its encoded bytes without the inputs and
// outputs of tasks.
func (t *trafficSim) countMessage(m wire.Message) {
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
	t.messagesSent++
	t.controlBytes += float64(size)
}

// trafficEntry is the environment of one entry core.
type trafficEntry struct {
	*trafficSim
	index int
}

// Now implements entry.Env and agent.Env.
func (t *trafficSim) Now() time.Time { return t.now }

// ReportConfigError implements agent.Env.
func (t *trafficSim) ReportConfigError(wire.Incarnation, error) { t.violations++ }

// ReportViolation implements entry.Env and agent.Env.
func (t *trafficSim) ReportViolation(_, _, _, _ string) { t.violations++ }

// SendAgent implements entry.Env.
func (e trafficEntry) SendAgent(to wire.Incarnation, m wire.Message) {
	e.countMessage(m)
	if e.loss.drops(e.now, to, m) {
		return
	}
	e.after(trafficLatency, func() { e.agents[to-agentID(0)].Received(entryID(e.index), m) })
}

// SendEntry implements entry.Env.
func (e trafficEntry) SendEntry(wire.Incarnation, wire.Message) {}

// Append implements entry.Env. The requests have no keys, so a claim is a fault.
func (e trafficEntry) Append(claims.Batch) { e.violations++ }

// trafficAgent is the environment of one agent core.
type trafficAgent struct {
	*trafficSim
	index int
}

// Send implements agent.Env.
func (a trafficAgent) Send(to wire.Incarnation, m wire.Message) {
	a.countMessage(m)
	if a.loss.drops(a.now, agentID(a.index), nil) {
		return
	}
	a.after(trafficLatency, func() { a.entries[to-entryID(0)].HandleAgentMessage(agentID(a.index), m) })
}

// Disconnect implements agent.Env.
func (t *trafficSim) Disconnect(wire.Incarnation) { t.violations++ }

// CallTarget implements agent.Env.
func (t *trafficSim) CallTarget(_ target.Call, done func(target.Result)) func() {
	t.after(trafficRunTime, func() { done(target.Result{Outcome: job.OK, Output: payload, Duration: trafficRunTime}) })
	return func() {}
}

// newTrafficSim connects every agent to every entry. The number of entries seeds the
// random draws.
func newTrafficSim(entries, agents int) *trafficSim {
	t := &trafficSim{now: epoch, random: rand.New(rand.NewPCG(1, uint64(entries)))}
	for i := range agents {
		core := agent.NewCore(trafficAgent{t, i}, agent.Options{Incarnation: agentID(i), Slots: trafficSlots, Backlog: 2, Limits: fencing.DefaultLimits})
		t.agents = append(t.agents, core)
		t.runEvery(agentTickInterval, core.Tick)
	}
	merged, _ := config.Merge(configFolder(0))
	for i := range entries {
		core := entry.NewCore(trafficEntry{t, i}, entryID(i), entries, uint64(i))
		core.Configure(merged.Config)
		core.ClaimRecords(logclient.Page{First: 1, Next: 1})
		t.entries = append(t.entries, core)
		t.runEvery(entryTickInterval, core.Tick)
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

// runEvery runs a function at every interval.
func (t *trafficSim) runEvery(interval time.Duration, run func()) {
	t.after(interval, func() { run(); t.runEvery(interval, run) })
}

// submitAtRate submits single requests to entries drawn at random, as a Poisson
// process with a rate per second.
func (t *trafficSim) submitAtRate(rate float64) {
	wait := time.Duration(t.random.ExpFloat64() / rate * float64(time.Second))
	t.after(wait, func() {
		core := t.entries[t.random.IntN(len(t.entries))]
		sub := &job.Submission{Service: serviceName, Team: "shop", Priority: job.Urgent, Deadline: t.now.Add(10 * time.Second),
			Idempotent: t.loss == nil, Single: true, Inputs: []json.RawMessage{payload}}
		core.Submit(sub, func(reply entry.Reply) {
			if reply.Answer != nil {
				t.answers++
				t.loss.countAnswer(reply.Answer)
				t.after(trafficLatency, func() { core.HandleDelivered(sub.Hash) })
			}
		})
		t.submitAtRate(rate)
	})
}

// runFor runs the events of the next duration of virtual time.
func (t *trafficSim) runFor(duration time.Duration) {
	end := t.now.Add(duration)
	for len(t.events) > 0 && !t.events[0].at.After(end) {
		e := heap.Pop(&t.events).(trafficEvent)
		t.now = e.at
		e.run()
	}
	t.now = end
}

// agentTraffic simulates trafficAgents agents that take rate tasks per second
// each. It returns the messages and the control bytes, those without inputs and
// outputs, per second of one agent, in both directions together.
func agentTraffic(entries int, rate float64) (messages, controlBytes float64, err error) {
	t := newTrafficSim(entries, trafficAgents)
	if rate > 0 {
		t.submitAtRate(rate * trafficAgents)
	}
	t.runFor(2 * time.Second)
	t.messagesSent, t.controlBytes, t.answers = 0, 0, 0
	t.runFor(trafficDuration)
	if t.violations > 0 || rate > 0 && float64(t.answers) < 0.9*rate*trafficAgents*trafficDuration.Seconds() {
		return 0, 0, errors.Newf("%d violations, %d requests answered", t.violations, t.answers)
	}
	agentSeconds := trafficAgents * trafficDuration.Seconds()
	return t.messagesSent / agentSeconds, t.controlBytes / agentSeconds, nil
}

func measureTraffic(Options) ([]Measurement, error) {
	sizes := []int{2, 4, 8, 16, 32}
	var measurements []Measurement
	for _, load := range []struct {
		name string
		rate float64
	}{{"idle", 0}, {fmt.Sprintf("%g tasks/s", trafficRate), trafficRate}} {
		messages := Measurement{Name: "traffic: messages per second of an agent, " + load.name, Unit: "1/s", Per: "entry"}
		control := Measurement{Name: "traffic: control bytes per second, " + load.name, Unit: "B/s", Per: "entry"}
		for _, n := range sizes {
			messagesPerSecond, bytesPerSecond, err := agentTraffic(n, load.rate)
			if err != nil {
				return measurements, err
			}
			messages.Points = append(messages.Points, Point{float64(n), messagesPerSecond})
			control.Points = append(control.Points, Point{float64(n), bytesPerSecond})
		}
		measurements = append(measurements, messages, control)
	}
	byRate := Measurement{Name: "traffic: control bytes per second, 8 entries", Unit: "B/s", Per: "task/s"}
	for _, rate := range []float64{15, 30, 60} {
		_, bytesPerSecond, err := agentTraffic(8, rate)
		if err != nil {
			return measurements, err
		}
		byRate.Points = append(byRate.Points, Point{rate, bytesPerSecond})
	}
	return append(measurements, byRate), nil
}
