package capacity

import (
	"bytes"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/claims"
	"github.com/azurerouter/azurerouter/process/entry"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/version/config"
)

const (
	serviceName = "card"
	// ampleSlots is so large that no task waits for a slot.
	ampleSlots = 512
	// designAgents is the number of agents on the design page.
	designAgents      = 890
	entryTickInterval = 2 * time.Millisecond
	// payloadBytes is the encoded size of each input and output.
	payloadBytes = 256
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// payload is a JSON string, payloadBytes long with its quotes.
var payload = fmt.Appendf(nil, "%q", bytes.Repeat([]byte("x"), payloadBytes-2))

// entryHarness is an entry core with a fake log and fake agents, which answer when
// confirmClaims and answerAll are called.
type entryHarness struct {
	now           time.Time
	core          *entry.Core
	dispatches    []*wire.Dispatch
	batches       []claims.Batch
	logOffset     uint64
	violations    int
	jobsSubmitted int
	answeredKeys  []job.KeyHash
	refusal       error
}

func newEntryHarness(agents int) *entryHarness {
	h := &entryHarness{now: epoch}
	h.startCore(h, agents)
	return h
}

// startCore creates the core and connects agents to it. env is the harness itself
// or a wrapper of it.
func (h *entryHarness) startCore(env entry.Env, agents int) {
	h.core = entry.NewCore(env, 1, 1, 1)
	merged, _ := config.Merge([]config.File{{Name: "s.json", Version: 1, Content: []byte(`{"services":{"card":{"queue_limit":1000000}}}`)}})
	h.core.Configure(merged.Config)
	for i := range agents {
		h.core.AgentConnected(wire.Hello{Role: wire.RoleAgent, Incarnation: agentID(i), Name: fmt.Sprint("agent-", i),
			Zone: fmt.Sprint("zone-", i%3), Service: serviceName, Slots: ampleSlots})
	}
}

// agentID returns the incarnation of the agent with this index.
func agentID(i int) wire.Incarnation { return wire.Incarnation(1000 + i) }

// Now implements entry.Env.
func (h *entryHarness) Now() time.Time { return h.now }

// SendAgent implements entry.Env.
func (h *entryHarness) SendAgent(_ wire.Incarnation, m wire.Message) {
	if d, ok := m.(*wire.Dispatch); ok {
		h.dispatches = append(h.dispatches, d)
	}
}

// SendEntry implements entry.Env.
func (h *entryHarness) SendEntry(wire.Incarnation, wire.Message) {}

// Append implements entry.Env.
func (h *entryHarness) Append(batch claims.Batch) { h.batches = append(h.batches, batch) }

// ReportViolation implements entry.Env.
func (h *entryHarness) ReportViolation(_, _, _, _ string) { h.violations++ }

// submit parses and submits a keyed job, as the HTTP handler does.
func (h *entryHarness) submit(tasks int) error {
	h.jobsSubmitted++
	body := jobBody(h.jobsSubmitted, tasks, h.now)
	sub, err := job.Parse(bytes.NewReader(body), false, h.now, h.core.ParseLimits())
	if err != nil {
		return err
	}
	h.core.Submit(sub, func(reply entry.Reply) {
		if reply.Refusal != nil {
			h.refusal = reply.Refusal
		}
		h.answeredKeys = append(h.answeredKeys, sub.Hash)
	})
	return nil
}

// jobBody returns the request body of a keyed job.
func jobBody(number, tasks int, now time.Time) []byte {
	body := fmt.Appendf(nil, `{"service":"card","team":"shop","key":"key-%d","submitted_at":%q,"deadline_ms":60000,"tasks":[`,
		number, now.Format(time.RFC3339Nano))
	for i := range tasks {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, payload...)
	}
	return append(body, "]}"...)
}

// confirmClaims accepts every appended batch of claims and passes the records back
// to the entry, as the log does.
func (h *entryHarness) confirmClaims() {
	h.now = h.now.Add(10 * time.Millisecond)
	h.core.Tick()
	for len(h.batches) > 0 {
		batch := h.batches[0]
		h.batches = h.batches[1:]
		h.logOffset++
		h.core.HandleAppendResult(batch.Nonce, h.logOffset, nil)
		h.core.ClaimRecords(logclient.Page{First: 1, Next: h.logOffset + 1,
			Records: []logclient.Record{{Offset: h.logOffset, Time: h.now, Data: batch.Data}}})
		h.now = h.now.Add(10 * time.Millisecond)
		h.core.Tick()
	}
}

// answerAll answers every dispatched task with success, one task per message.
func (h *entryHarness) answerAll() {
	for len(h.dispatches) > 0 {
		d := h.dispatches[0]
		h.dispatches = h.dispatches[1:]
		for _, task := range d.Tasks {
			h.core.HandleAgentMessage(d.Agent, &wire.Answers{Agent: d.Agent, Entry: d.Entry, Tasks: []wire.TaskAnswer{
				{Seq: task.Seq, Attempt: task.Attempt, Outcome: job.OK, Output: bytes.Clone(payload), RunMS: 100}}})
		}
	}
}

// confirmDelivery reports to the entry that the answers have reached their callers.
func (h *entryHarness) confirmDelivery() {
	for _, hash := range h.answeredKeys {
		h.core.HandleDelivered(hash)
	}
	h.answeredKeys = nil
}

// run submits jobs, confirms their claims, and answers and delivers their tasks.
func (h *entryHarness) run(jobs, tasks int) error {
	for range jobs {
		if err := h.submit(tasks); err != nil {
			return err
		}
	}
	h.confirmClaims()
	h.answerAll()
	h.confirmDelivery()
	return h.check()
}

// check returns an error if the core has reported a violation or refused a job.
func (h *entryHarness) check() error {
	if h.violations > 0 || h.refusal != nil {
		return errors.Newf("%d violations, refusal %v", h.violations, h.refusal)
	}
	return nil
}

// sendHeartbeats passes a heartbeat of every agent to the entry.
func (h *entryHarness) sendHeartbeats(agents int) {
	for i := range agents {
		h.core.HandleAgentMessage(agentID(i), &wire.Heartbeat{})
	}
}

// advance ticks the core for a virtual time while the agents send heartbeats.
func (h *entryHarness) advance(duration time.Duration, agents int) {
	const heartbeatInterval = 500 * time.Millisecond
	for passed := time.Duration(0); passed < duration; passed += entryTickInterval {
		if passed%heartbeatInterval == 0 {
			h.sendHeartbeats(agents)
		}
		h.now = h.now.Add(entryTickInterval)
		h.core.Tick()
	}
}

func measureEntry(o Options) ([]Measurement, error) {
	return collect(
		func() (Measurement, error) {
			return o.measureBytes("entry: heap per agent link", "agent", []int{300, 600, 900, 1800}, func(n int) (any, error) {
				return newEntryHarness(n), nil
			})
		},
		func() (Measurement, error) { return o.jobBytes("entry: heap per active job of 1 task", 1, false) },
		func() (Measurement, error) { return o.jobBytes("entry: heap per active job of 40 tasks", 40, false) },
		func() (Measurement, error) { return o.jobBytes("entry: heap per held answer of 1 task", 1, true) },
		func() (Measurement, error) { return o.jobBytes("entry: heap per held answer of 40 tasks", 40, true) },
		func() (Measurement, error) { return o.keyBytes() },
		func() (Measurement, error) { return o.taskTime(1) },
		func() (Measurement, error) { return o.taskTime(40) },
		func() (Measurement, error) { return o.taskTime(job.MaxTasks) },
		o.agentTickTime,
		o.jobTickTime,
		o.connectTime,
	)
}

// jobBytes measures the heap of jobs whose tasks are outstanding at the agents or,
// if answered is set, whose answers are delivered and held for resubmissions. The
// claims table holds the claims in both cases.
func (o Options) jobBytes(name string, tasks int, answered bool) (Measurement, error) {
	sizes := []int{100, 200, 400, 800}
	if tasks == 1 {
		sizes = []int{1000, 2000, 4000, 8000}
	}
	return o.measureBytes(name, "job", sizes, func(n int) (any, error) {
		h := newEntryHarness(100)
		if answered {
			return h, h.run(n, tasks)
		}
		for range n {
			if err := h.submit(tasks); err != nil {
				return nil, err
			}
		}
		h.confirmClaims()
		h.dispatches = nil // a real entry does not keep messages that it has sent
		return h, h.check()
	})
}

// keyBytes measures the heap of keys whose answers are past their retention, but
// which are still within the dedupe window.
func (o Options) keyBytes() (Measurement, error) {
	return o.measureBytes("entry: heap per key after the answer", "key", []int{4000, 8000, 16000}, func(n int) (any, error) {
		h := newEntryHarness(100)
		if err := h.run(n, 1); err != nil {
			return nil, err
		}
		for range 2 { // the first tick evicts the answers, the second sends the releases
			h.now = h.now.Add(h.core.Limits().AnswerRetention + time.Second)
			h.core.Tick()
		}
		return h, nil
	})
}

// connectTime measures the connection of one more agent. The entry sorts all known
// agents each time.
func (o Options) connectTime() (Measurement, error) {
	const connects = 50
	return o.measureCPUTime("entry: processor time to connect an agent", "known agent", []int{225, 450, 900, 1800}, connects,
		func(n int) (func() error, error) {
			h := newEntryHarness(n)
			return func() error {
				for i := range connects {
					h.core.AgentConnected(wire.Hello{Role: wire.RoleAgent, Incarnation: agentID(n + i), Name: fmt.Sprint("agent-", n+i),
						Zone: "zone-1", Service: serviceName, Slots: ampleSlots})
				}
				return h.check()
			}, nil
		})
}

// taskTime measures parsing, claim, dispatch and answer of tasks with designAgents
// agents. HTTP, the encoding of messages and sockets are not included.
func (o Options) taskTime(tasks int) (Measurement, error) {
	// A round advances the virtual time by 20 ms or more; agents count as
	// silent after 2 s.
	const roundsPerHeartbeat = 25
	sizes := []int{4000, 8000, 16000, 32000}
	name := fmt.Sprintf("entry: processor time per task in jobs of %d", tasks)
	return o.measureCPUTime(name, "task", sizes, 1, func(n int) (func() error, error) {
		h := newEntryHarness(designAgents)
		return func() error {
			rounds := 0
			for range n / 400 {
				if err := h.run(max(1, 400/tasks), tasks); err != nil {
					return err
				}
				if rounds++; rounds%roundsPerHeartbeat == 0 {
					h.sendHeartbeats(designAgents)
				}
			}
			return nil
		}, nil
	})
}

// agentTickTime measures the processor time per second of ticks and heartbeats,
// over 10 s.
func (o Options) agentTickTime() (Measurement, error) {
	const duration = 10 * time.Second
	return o.measureCPUTime("entry: processor time per idle second", "agent", []int{225, 450, 900, 1800}, duration.Seconds(),
		func(n int) (func() error, error) {
			h := newEntryHarness(n)
			return func() error { h.advance(duration, n); return h.check() }, nil
		})
}

// jobTickTime measures the processor time per second of ticks, by the number of
// jobs that wait for answers.
func (o Options) jobTickTime() (Measurement, error) {
	const duration = 2 * time.Second
	return o.measureCPUTime("entry: processor time per second of ticks", "active job", []int{1000, 2000, 4000, 8000}, duration.Seconds(),
		func(n int) (func() error, error) {
			h := newEntryHarness(100)
			for range n {
				if err := h.submit(1); err != nil {
					return nil, err
				}
			}
			h.confirmClaims()
			return func() error { h.advance(duration, 100); return h.check() }, nil
		})
}
