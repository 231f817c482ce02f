package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"runtime"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/azurerouter/azurerouter/request/batch"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/version/routing"
)

// sampleMessages returns one message of each kind.
func sampleMessages() []Message {
	key := job.KeyHash{1, 2, 3}
	load := Load{Running: 3, Queued: 4}
	room := batch.Resources{MilliCPU: 16000, MemoryMiB: 32768, GPUs: 1}
	run := batch.Run{Task: batch.Task{Job: "0123456789abcdef", Occurrence: 1, Step: 2, Index: 3}, Number: 4}
	members := []EntryMember{{Name: "entry-1", Addr: "127.0.0.1:7001"}}
	target := TargetState{Target: "t-1", Service: "card", Capacity: room, Labels: []string{"rack-1"}, Closed: ClosedFaulty, Probing: true, Revision: 6, StartTime: 7}
	return []Message{
		&Hello{Role: RoleAgent, Incarnation: math.MaxUint64, Name: "agent-1", Zone: "zone-a", PeerAddr: "127.0.0.1:7000",
			Service: "card", Slots: 8, MemoryMB: 32768, Accelerators: 1, ConfigOffset: 5},
		&Members{Offset: 9, Entries: []EntryAddress{{Incarnation: 7, Name: "entry-1", Zone: "zone-b", PeerAddr: "127.0.0.1:7001"}}},
		&Heartbeat{Load: load, Released: []uint64{1, 2}, ConfigOffset: 5},
		&Resume{HighestSeq: 10, Unreleased: []uint64{8, 9}},
		&Dispatch{Agent: 1, Entry: 2, Tasks: []DispatchTask{{Seq: 1, Key: key, Index: 2, Count: 400, Attempt: 1,
			BudgetMS: 30_000, Batch: true, Input: []byte(`{"sleep_ms":50}`)}}, Released: []uint64{3}},
		&Answers{Agent: 1, Entry: 2, Load: load, Tasks: []TaskAnswer{{Seq: 1, Attempt: 1, NotStarted: NotStartedBusy,
			Outcome: job.Failed, Output: []byte("{}"), Error: "exit 1", RunMS: 50}}},
		&Cancel{Entry: 2, Seqs: []uint64{1}},
		&Leaving{},
		&Fence{Entry: 2, SilentMS: 3000},
		&Fenced{Entry: 2, EntryAlive: true, Tasks: []HeldTask{{Key: key, Index: 1, Count: 2, Outcome: job.OK, Output: []byte("{}"), Error: "x"}}},
		&Query{ID: 1, Key: key, Digest: job.Digest{4}, BudgetMS: 100, Body: []byte("{}"), Single: true},
		&QueryReply{ID: 1, Answer: []byte("{}"), Refusal: Refusal{Code: "deadline", Run: "no", Message: "m", Step: "s", RetryAfterMS: 1}},
		&Config{Offset: 3, Files: []ConfigFile{{Name: "a.json", Version: 3, Content: []byte("{}")}}},
		&Quota{Shares: []QuotaShare{{Team: "shop", Demand: 10.5, Loan: 2}}, Seq: 7, EchoSeq: 6},
		&EntryHello{Entry: 3, Name: "entry-1", Zone: "zone-a", Entries: members},
		&EntryMembers{Entries: members, Started: []string{"10.0.0.1:7720"}},
		&RoutingUpdate{Config: routing.Config{Version: 4, Queues: []routing.Queue{{Name: "q", Host: "h", PathPrefix: "/q/",
			Service: "card", Priority: 1, MaxAttempts: 3, LatencyFactor: 1.5, TargetLatency: 60, Timeout: 1500, RequiresTicket: true}},
			Services: []routing.Service{{Name: "card", EnforcesCapacity: true}}, Limits: routing.Limits{HeaderBytes: 1, BodyBytes: 2,
				HeaderTimeout: 3, IdleTimeout: 4}}},
		&Enroll{Agent: 1, Node: "agent-1", Zone: "zone-a", Clock: 9, Target: target, Free: room,
			HeldRuns: []RunReport{{Run: run, End: batch.EndDone, RanMS: 50}}},
		&Orders{Sequence: 1, ClockEcho: 9, Stops: []batch.Run{run}, Waiting: &Waiting{SlackMS: -1, Smallest: room}, Starts: []StartOrder{{Job: "j", Spec: "s", Step: 1,
			Occurrence: 2, Demand: room, EstimateMS: 60, SlackMS: -5, Tasks: []StartTask{{Index: 3, RunNumber: 1, StopIfSlow: true}}}}},
		&AgentReport{Clock: 9, HandledSequence: 1, Free: room, Runs: []RunReport{{Run: run, RefusalReason: RefusedFull}}, Target: &target, Invitation: true},
		&JobCall{Number: 1, Action: SubmitDurable, ID: "j", Submission: &batch.Submission{Job: batch.Job{ID: "j", Spec: "s", Durable: true,
			Unsupported: "u", Steps: []batch.Step{{Tasks: 2, Demand: room, Estimate: 60, DependsOn: []int{0}, Label: "a", MaxPerTarget: 1, Unsupported: "u"}}},
			Service: "card", Queue: "q", Priority: 1, MaxAttempts: 3, Objective: 4, CallerTimeout: 5, PriorWait: 6, Version: 7}},
		&JobReply{Number: 1, Code: "not_accepted", Reason: "store_away", RetryAfterMS: 1000, State: "open", Started: true},
	}
}

func encodeFrame(k kind, payload []byte) []byte {
	header := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	return append(append(header, byte(k)), payload...)
}

// FuzzRead guards against input that makes the decoder panic or return an error
// without the ErrFrame mark, and against messages that change when they are
// decoded and encoded again.
func FuzzRead(f *testing.F) {
	for _, m := range sampleMessages() {
		encoded, err := Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Read(bytes.NewReader(data))
		if err != nil {
			if !errors.Is(err, ErrFrame) && err != io.ErrUnexpectedEOF && !(err == io.EOF && len(data) == 0) {
				t.Fatalf("%d bytes: error %v", len(data), err)
			}
			return
		}
		first, err := Append(nil, m)
		if err != nil {
			t.Fatalf("%s was decoded but cannot be encoded: %v", KindName(m), err)
		}
		again, err := Read(bytes.NewReader(first))
		if err != nil {
			t.Fatalf("%s was encoded but cannot be decoded: %v", KindName(m), err)
		}
		if second, _ := Append(nil, again); !bytes.Equal(first, second) {
			t.Fatalf("%s changed when it was decoded and encoded again, from\n%x to\n%x", KindName(m), first, second)
		}
	})
}

// Guards against a message kind that was added without an entry in kindNames or
// messageConstructors, so that peers cannot decode it.
func TestEveryMessageKindIsDecoded(t *testing.T) {
	seen := make(map[kind]bool)
	var stream []byte
	for _, m := range sampleMessages() {
		seen[m.kind()] = true
		stream, _ = Append(stream, m)
	}
	if len(seen) != len(messageConstructors) || len(seen) != len(kindNames) {
		t.Errorf("%d kinds in sampleMessages, %d constructors, %d names", len(seen), len(messageConstructors), len(kindNames))
	}
	reader := bytes.NewReader(stream)
	for _, want := range sampleMessages() {
		if got, err := Read(reader); err != nil || got.kind() != want.kind() {
			t.Errorf("%s decoded as %v, error %v", KindName(want), got, err)
		}
	}
	if _, err := Read(reader); err != io.EOF {
		t.Errorf("Read at the end of the stream: error %v, want io.EOF", err)
	}
}

// Guards against input that exceeds the limits of the decoder: frames that are
// too large or nested too deeply, and rates for which the bounds checks do not
// hold.
func TestReadRejectsInvalidFrames(t *testing.T) {
	quota := func(value []byte) []byte { // one share with team "t" and the given demand
		return append([]byte{0xa1, 0x01, 0x81, 0xa2, 0x01, 0x61, 't', 0x02}, value...)
	}
	cases := map[string][]byte{
		"oversized":      binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1),
		"unknown kind":   encodeFrame(200, []byte{0xa0}),
		"trailing bytes": encodeFrame(kindLeaving, []byte{0xa0, 0x00}),
		"NaN":            encodeFrame(kindQuota, quota([]byte{0xf9, 0x7e, 0x00})),
		"infinity":       encodeFrame(kindQuota, quota([]byte{0xf9, 0x7c, 0x00})),
	}
	for name, data := range cases {
		if _, err := Read(bytes.NewReader(append(data, 0))); !errors.Is(err, ErrFrame) {
			t.Errorf("%s: error %v, want ErrFrame", name, err)
		}
	}
	var tooDeep *cbor.MaxNestedLevelError
	nested := append(bytes.Repeat([]byte{0x81}, 20), 0x80)
	if _, err := Read(bytes.NewReader(encodeFrame(kindMembers, nested))); !errors.As(err, &tooDeep) {
		t.Errorf("nested arrays: error %v, want MaxNestedLevelError", err)
	}
	if _, err := Read(bytes.NewReader(encodeFrame(kindQuota, quota([]byte{0xf9, 0x3c, 0x00})))); err != nil {
		t.Errorf("demand of 1: %v", err)
	}
}

// Guards against a stream that ends within a frame and is taken for a stream
// that was closed between two frames.
func TestReadReportsTruncatedFrames(t *testing.T) {
	whole, _ := Append(nil, sampleMessages()[0])
	for length := 1; length < len(whole); length++ {
		if _, err := Read(bytes.NewReader(whole[:length])); err != io.ErrUnexpectedEOF {
			t.Fatalf("%d of %d bytes: error %v, want io.ErrUnexpectedEOF", length, len(whole), err)
		}
	}
}

// Guards against a peer that exhausts the memory of a process by sending headers
// of large frames without the payload.
func TestReadAllocatesOnlyForReceivedBytes(t *testing.T) {
	header := append(binary.BigEndian.AppendUint32(nil, MaxFrameBytes), byte(kindHello), 0)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	Read(bytes.NewReader(header))
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > MaxFrameBytes/4 {
		t.Errorf("Read allocated %d bytes for a header without payload", allocated)
	}
}
