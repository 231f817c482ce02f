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
	// wideSlots is large enough for no task to wait for a slot.
	wideSlots = 512
	// targetAgents is the size of the design page.
	targetAgents = 890
	entryTick    = 2 * time.Millisecond
	// payloadBytes is the size of each input and output.
	payloadBytes = 256
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// payload is a JSON string of payloadBytes.
var payload = fmt.Appendf(nil, "%q", bytes.Repeat([]byte("x"), payloadBytes-2))

// entryRig is an entry core whose agents and log answer at once.
type entryRig struct {
	now        time.Time
	core       *entry.Core
	dispatches []*wire.Dispatch
	batches    []claims.Batch
	offset     uint64
	violations int
	jobs       int
	replies    []job.KeyHash
	refused    error
}

func newEntryRig(agents int) *entryRig {
	r := &entryRig{now: epoch}
	r.connect(r, agents)
	return r
}

// connect starts the core with an environment that is the rig itself or wraps
// it.
func (r *entryRig) connect(env entry.Env, agents int) {
	r.core = entry.NewCore(env, 1, 1, 1)
	merged, _ := config.Merge([]config.File{{Name: "s.json", Version: 1, Content: []byte(`{"services":{"card":{"queue_limit":1000000}}}`)}})
	r.core.Configure(merged.Config)
	for i := range agents {
		r.core.AgentConnected(wire.Hello{Role: wire.RoleAgent, Incarnation: agentID(i), Name: fmt.Sprint("agent-", i),
			Zone: fmt.Sprint("zone-", i%3), Service: serviceName, Slots: wideSlots})
	}
}

func agentID(i int) wire.Incarnation { return wire.Incarnation(1000 + i) }

// Now implements entry.Env.
func (r *entryRig) Now() time.Time { return r.now }

// SendAgent implements entry.Env.
func (r *entryRig) SendAgent(_ wire.Incarnation, m wire.Message) {
	if d, ok := m.(*wire.Dispatch); ok {
		r.dispatches = append(r.dispatches, d)
	}
}

// SendEntry implements entry.Env.
func (r *entryRig) SendEntry(wire.Incarnation, wire.Message) {}

// Append implements entry.Env.
func (r *entryRig) Append(batch claims.Batch) { r.batches = append(r.batches, batch) }

// Violated implements entry.Env.
func (r *entryRig) Violated(_, _, _, _ string) { r.violations++ }

// submit parses and submits a keyed job, as the HTTP handler does.
func (r *entryRig) submit(tasks int) error {
	r.jobs++
	body := jobBody(r.jobs, tasks, r.now)
	sub, err := job.Parse(bytes.NewReader(body), false, r.now, r.core.ParseLimits())
	if err != nil {
		return err
	}
	r.core.Submit(sub, func(reply entry.Reply) {
		if reply.Refusal != nil {
			r.refused = reply.Refusal
		}
		r.replies = append(r.replies, sub.Hash)
	})
	return nil
}

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

// decideClaims lets the log accept what was appended, and the entry read it.
func (r *entryRig) decideClaims() {
	r.now = r.now.Add(10 * time.Millisecond)
	r.core.Tick()
	for len(r.batches) > 0 {
		batch := r.batches[0]
		r.batches = r.batches[1:]
		r.offset++
		r.core.Appended(batch.Nonce, r.offset, nil)
		r.core.ClaimRecords(logclient.Page{First: 1, Next: r.offset + 1,
			Records: []logclient.Record{{Offset: r.offset, Time: r.now, Data: batch.Data}}})
		r.now = r.now.Add(10 * time.Millisecond)
		r.core.Tick()
	}
}

// answerAll answers every dispatched task with success, one task per message.
func (r *entryRig) answerAll() {
	for len(r.dispatches) > 0 {
		d := r.dispatches[0]
		r.dispatches = r.dispatches[1:]
		for _, task := range d.Tasks {
			r.core.AgentReceived(d.Agent, &wire.Answers{Agent: d.Agent, Entry: d.Entry, Tasks: []wire.TaskAnswer{
				{Seq: task.Seq, Attempt: task.Attempt, Outcome: job.OK, Output: bytes.Clone(payload), RunMS: 100}}})
		}
	}
}

// deliver tells the entry that the answers have reached their callers.
func (r *entryRig) deliver() {
	for _, hash := range r.replies {
		r.core.Delivered(hash)
	}
	r.replies = nil
}

// run submits jobs, dispatches and answers them.
func (r *entryRig) run(jobs, tasks int) error {
	for range jobs {
		if err := r.submit(tasks); err != nil {
			return err
		}
	}
	r.decideClaims()
	r.answerAll()
	r.deliver()
	return r.check()
}

func (r *entryRig) check() error {
	if r.violations > 0 || r.refused != nil {
		return errors.Newf("%d violations, refusal %v", r.violations, r.refused)
	}
	return nil
}

// hear lets every agent send a heartbeat.
func (r *entryRig) hear(agents int) {
	for i := range agents {
		r.core.AgentReceived(agentID(i), &wire.Heartbeat{})
	}
}

// idle ticks for a virtual time, with the heartbeats that the agents send.
func (r *entryRig) idle(lasts time.Duration, agents int) {
	const beat = 500 * time.Millisecond
	for passed := time.Duration(0); passed < lasts; passed += entryTick {
		if passed%beat == 0 {
			r.hear(agents)
		}
		r.now = r.now.Add(entryTick)
		r.core.Tick()
	}
}

func entryFigures(o Options) ([]Figure, error) {
	return collect(
		func() (Figure, error) {
			return o.bytesOf("entry: heap per agent link", "agent", []int{300, 600, 900, 1800}, func(n int) (any, error) {
				return newEntryRig(n), nil
			})
		},
		func() (Figure, error) { return o.jobBytes("entry: heap per active job of 1 task", 1, false) },
		func() (Figure, error) { return o.jobBytes("entry: heap per active job of 40 tasks", 40, false) },
		func() (Figure, error) { return o.jobBytes("entry: heap per held answer of 1 task", 1, true) },
		func() (Figure, error) { return o.jobBytes("entry: heap per held answer of 40 tasks", 40, true) },
		func() (Figure, error) { return o.keyBytes() },
		func() (Figure, error) { return o.taskTime(1) },
		func() (Figure, error) { return o.taskTime(40) },
		func() (Figure, error) { return o.taskTime(job.MaxTasks) },
		o.agentTickTime,
		o.jobTickTime,
		o.connectTime,
	)
}

// jobBytes measures jobs that are outstanding at the agents, or answered,
// delivered and held. The claims are in the table in both cases.
func (o Options) jobBytes(name string, tasks int, answered bool) (Figure, error) {
	sizes := []int{100, 200, 400, 800}
	if tasks == 1 {
		sizes = []int{1000, 2000, 4000, 8000}
	}
	return o.bytesOf(name, "job", sizes, func(n int) (any, error) {
		r := newEntryRig(100)
		if answered {
			return r, r.run(n, tasks)
		}
		for range n {
			if err := r.submit(tasks); err != nil {
				return nil, err
			}
		}
		r.decideClaims()
		r.dispatches = nil // the wire, not the entry, holds the messages
		return r, r.check()
	})
}

// keyBytes measures keys whose answers are past their retention and whose age is
// within the dedupe window.
func (o Options) keyBytes() (Figure, error) {
	return o.bytesOf("entry: heap per key after the answer", "key", []int{4000, 8000, 16000}, func(n int) (any, error) {
		r := newEntryRig(100)
		if err := r.run(n, 1); err != nil {
			return nil, err
		}
		for range 2 { // the first tick evicts, the second passes the releases on
			r.now = r.now.Add(r.core.Limits().AnswerRetention + time.Second)
			r.core.Tick()
		}
		return r, nil
	})
}

// connectTime measures the connection of an agent, which sorts all known ones.
func (o Options) connectTime() (Figure, error) {
	const connects = 50
	return o.timeOf("entry: processor time to connect an agent", "known agent", []int{225, 450, 900, 1800}, connects,
		func(n int) (func() error, error) {
			r := newEntryRig(n)
			return func() error {
				for i := range connects {
					r.core.AgentConnected(wire.Hello{Role: wire.RoleAgent, Incarnation: agentID(n + i), Name: fmt.Sprint("agent-", n+i),
						Zone: "zone-1", Service: serviceName, Slots: wideSlots})
				}
				return r.check()
			}, nil
		})
}

// taskTime measures parsing, claim, dispatch and answer at the target number of
// agents, without HTTP, encoding and sockets.
func (o Options) taskTime(tasks int) (Figure, error) {
	// A round advances the virtual time by 20 ms or more; agents count as
	// silent after 2 s.
	const roundsPerBeat = 25
	sizes := []int{4000, 8000, 16000, 32000}
	name := fmt.Sprintf("entry: processor time per task in jobs of %d", tasks)
	return o.timeOf(name, "task", sizes, 1, func(n int) (func() error, error) {
		r := newEntryRig(targetAgents)
		return func() error {
			rounds := 0
			for range n / 400 {
				if err := r.run(max(1, 400/tasks), tasks); err != nil {
					return err
				}
				if rounds++; rounds%roundsPerBeat == 0 {
					r.hear(targetAgents)
				}
			}
			return nil
		}, nil
	})
}

// agentTickTime measures 10 s of ticks and heartbeats, per second.
func (o Options) agentTickTime() (Figure, error) {
	const lasts = 10 * time.Second
	return o.timeOf("entry: processor time per idle second", "agent", []int{225, 450, 900, 1800}, lasts.Seconds(),
		func(n int) (func() error, error) {
			r := newEntryRig(n)
			return func() error { r.idle(lasts, n); return r.check() }, nil
		})
}

// jobTickTime measures how the ticks grow with the jobs that wait for answers.
func (o Options) jobTickTime() (Figure, error) {
	const lasts = 2 * time.Second
	return o.timeOf("entry: processor time per second of ticks", "active job", []int{1000, 2000, 4000, 8000}, lasts.Seconds(),
		func(n int) (func() error, error) {
			r := newEntryRig(100)
			for range n {
				if err := r.submit(1); err != nil {
					return nil, err
				}
			}
			r.decideClaims()
			return func() error { r.idle(lasts, 100); return r.check() }, nil
		})
}
