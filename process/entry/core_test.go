package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/claims"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
	"github.com/azurerouter/azurerouter/version/config"
)

const testAgent wire.Incarnation = 7

// fakeEnv is an Env in which agents answer every task with the same output and
// the log confirms every append.
type fakeEnv struct {
	core         *Core
	now          time.Time
	output       []byte
	offset       uint64
	scheduled    []func()
	agentsSilent bool // agents do not answer
	sent         []wire.Message
}

func (f *fakeEnv) Now() time.Time                           { return f.now }
func (f *fakeEnv) SendEntry(wire.Incarnation, wire.Message) {}
func (f *fakeEnv) ReportViolation(guarantee, step, peer, detail string) {
	panic(guarantee + " " + step + " " + peer + " " + detail)
}

func (f *fakeEnv) Append(batch claims.Batch) {
	f.offset++
	offset := f.offset
	f.scheduled = append(f.scheduled, func() { f.core.HandleAppendResult(batch.Nonce, offset, nil) })
}

func (f *fakeEnv) SendAgent(agent wire.Incarnation, m wire.Message) {
	f.sent = append(f.sent, m)
	dispatch, ok := m.(*wire.Dispatch)
	if !ok || f.agentsSilent {
		return
	}
	answers := &wire.Answers{Agent: agent, Entry: dispatch.Entry}
	for _, task := range dispatch.Tasks {
		answers.Tasks = append(answers.Tasks, wire.TaskAnswer{Seq: task.Seq, Attempt: task.Attempt, Outcome: job.OK, Output: f.output})
	}
	f.scheduled = append(f.scheduled, func() { f.core.HandleAgentMessage(agent, answers) })
}

// advance moves the virtual time forward in steps of 10 ms and runs the
// scheduled events and Tick in each.
func (f *fakeEnv) advance(steps int) {
	for range steps {
		f.now = f.now.Add(10 * time.Millisecond)
		events := f.scheduled
		f.scheduled = nil
		for _, run := range events {
			run()
		}
		f.core.Tick()
	}
}

func newFakeEnv(t *testing.T, output []byte) *fakeEnv {
	t.Helper()
	f := &fakeEnv{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), output: output}
	f.core = NewCore(f, 1, 1, 1)
	merged, _ := config.Merge([]config.File{{Name: "a.json", Version: 1, Content: []byte(`{"services":{"card":{}}}`)}})
	f.core.Configure(merged.Config)
	f.core.AgentConnected(wire.Hello{Role: wire.RoleAgent, Incarnation: testAgent, Name: "agent", Service: "card", Slots: 8})
	return f
}

func (f *fakeEnv) parse(t *testing.T, key string) *job.Submission {
	t.Helper()
	at, _ := json.Marshal(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	body := fmt.Sprintf(`{"service":"card","team":"shop","key":%q,"submitted_at":%s,"tasks":[1]}`, key, at)
	sub, err := job.Parse(strings.NewReader(body), false, f.now, f.core.ParseLimits())
	if err != nil {
		t.Fatal(err)
	}
	return sub
}

func (f *fakeEnv) submit(t *testing.T, key string) *Reply {
	t.Helper()
	reply := &Reply{}
	f.core.Submit(f.parse(t, key), func(r Reply) { *reply = r })
	f.advance(5)
	return reply
}

// Guards against an entry that answers a job of a dead owner as lost although
// it has no agent to ask: that answer is kept, and the results that an
// agent holds would never reach the caller. The refusal must state an unknown
// outcome, and a resubmission must find the result once an agent has connected.
func TestRecoveryWithoutAgentsLeavesOutcomeUnknown(t *testing.T) {
	f := newFakeEnv(t, []byte("1"))
	f.core.AgentDisconnected(testAgent)
	sub := f.parse(t, "orphan")
	data, err := claims.EncodeRecord(claims.Record{Entry: 99, Nonce: 1, Pairs: []claims.Pair{{Key: sub.Hash, Digest: sub.Digest}}})
	if err != nil {
		t.Fatal(err)
	}
	page := logclient.Page{First: 1, Next: 2, Records: []logclient.Record{{Offset: 1, Time: f.now, Data: data}}}
	if err := f.core.ClaimRecords(page); err != nil {
		t.Fatal(err)
	}
	var reply Reply
	f.core.Submit(sub, func(r Reply) { reply = r })
	f.advance(3500) // longer than OwnerSilenceTimeout and the default deadline
	if reply.Refusal == nil || reply.Refusal.Run != refusal.RunUnknown {
		t.Fatalf("reply %+v, want a refusal with an unknown outcome", reply)
	}
	f.core.AgentConnected(wire.Hello{Role: wire.RoleAgent, Incarnation: testAgent + 1, Name: "agent", Service: "card", Slots: 8})
	f.core.Submit(f.parse(t, "orphan"), func(r Reply) { reply = r })
	f.advance(10)
	f.core.HandleAgentMessage(testAgent+1, &wire.Fenced{Entry: 99, Tasks: []wire.HeldTask{{Key: sub.Hash, Count: 1, Outcome: job.OK, Output: []byte("1")}}})
	f.advance(10)
	if reply.Answer == nil || reply.Answer.State != job.Complete {
		t.Fatalf("reply %+v, want the answer that the agent holds", reply)
	}
}

// Guards against a NotRun refusal of a key whose job is running: the caller
// would take its submission for not started. The refusal must be RunUnknown
// even if the caller states that it has not sent the key before.
func TestRefusalOfRunningKeyIsUnknown(t *testing.T) {
	f := newFakeEnv(t, nil)
	f.agentsSilent = true
	f.submit(t, "running")
	f.core.Drain()
	again := f.parse(t, "running")
	again.First = true
	var reply Reply
	f.core.Submit(again, func(r Reply) { reply = r })
	if reply.Refusal == nil || reply.Refusal.Code != refusal.Draining || reply.Refusal.Run != refusal.RunUnknown {
		t.Errorf("reply %+v, want draining with an unknown outcome", reply.Refusal)
	}
	other := f.parse(t, "new")
	other.First = true
	f.core.Submit(other, func(r Reply) { reply = r })
	if reply.Refusal == nil || reply.Refusal.Run != refusal.NotRun {
		t.Errorf("reply %+v, want a NotRun refusal", reply.Refusal)
	}
}

// Guards against answers that fill the memory of an entry. The oldest answers
// are dropped, and a resubmission of their keys is refused rather than run
// again.
func TestHeldAnswersAreBounded(t *testing.T) {
	const size = job.MaxInputBytes
	f := newFakeEnv(t, bytes.Repeat([]byte("1"), size))
	const jobs = 2 * maxHeldBytes * shardCount / size
	for i := range jobs {
		if reply := f.submit(t, fmt.Sprint("key-", i)); reply.Answer == nil {
			t.Fatalf("job %d: %v", i, reply.Refusal)
		}
	}
	f.advance(10)
	held := 0
	for i := range f.core.shards {
		held += f.core.shards[i].heldBytes
	}
	if held > maxHeldBytes*shardCount || held < maxHeldBytes*shardCount/2 {
		t.Errorf("answers hold %d bytes, the bound is %d", held, maxHeldBytes*shardCount)
	}
	dropped := 0
	for i := range jobs {
		reply := f.submit(t, fmt.Sprint("key-", i))
		if reply.Refusal != nil && reply.Refusal.Code == refusal.KeyTooOld && reply.Refusal.Run == refusal.RunUnknown {
			dropped++
		} else if reply.Answer == nil {
			t.Fatalf("resubmission of job %d: %v", i, reply.Refusal)
		}
	}
	if dropped == 0 || dropped == jobs {
		t.Errorf("%d of %d answers were dropped", dropped, jobs)
	}
	starts := 0
	for _, m := range f.sent {
		if dispatch, ok := m.(*wire.Dispatch); ok {
			starts += len(dispatch.Tasks)
		}
	}
	if starts != jobs {
		t.Errorf("%d starts for %d jobs", starts, jobs)
	}
}
