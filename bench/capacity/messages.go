package capacity

import (
	"bytes"
	"io"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/claims"
	"github.com/azurerouter/azurerouter/process/membership"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/version/config"
)

// largeID has the same encoded size as an incarnation drawn at random.
const largeID wire.Incarnation = 1 << 63

// elementCounts are the numbers of repeated elements with which every message type
// is encoded.
var elementCounts = []int{1, 10, 100, 1000}

// messageCases builds each message type with n repeated elements, of which per is
// the name. Message types without repeated elements give a slope of 0 and their
// size as the intercept.
var messageCases = []struct {
	per   string
	build func(n int) wire.Message
}{
	{"(fixed)", func(int) wire.Message {
		return &wire.Hello{Role: wire.RoleAgent, Incarnation: largeID, Name: "agent-000001", Zone: "zone-1", Service: serviceName, Slots: 8,
			MemoryMB: 32_000, ConfigOffset: 100_000}
	}},
	{"entry", func(n int) wire.Message {
		return &wire.Members{Offset: 100_000, Entries: repeat(n, wire.EntryAddress{Incarnation: largeID, Name: "entry-000001", Zone: "zone-1", PeerAddr: "10.100.100.100:7400"})}
	}},
	{"released sequence", func(n int) wire.Message {
		return &wire.Heartbeat{Load: wire.Load{Running: 8, Queued: 2}, Released: repeat(n, uint64(1_000_000)), ConfigOffset: 100_000}
	}},
	{"unreleased sequence", func(n int) wire.Message {
		return &wire.Resume{HighestSeq: 1_000_000, Unreleased: repeat(n, uint64(1_000_000))}
	}},
	{"task without its input", func(n int) wire.Message { return newDispatch(n, nil) }},
	{"task without its output", func(n int) wire.Message { return newAnswers(n, nil) }},
	{"sequence", func(n int) wire.Message { return &wire.Cancel{Entry: largeID, Seqs: repeat(n, uint64(1_000_000))} }},
	{"(fixed)", func(int) wire.Message { return &wire.Leaving{} }},
	{"(fixed)", func(int) wire.Message { return &wire.Fence{Entry: largeID, SilentMS: 3000} }},
	{"task without its output", func(n int) wire.Message {
		return &wire.Fenced{Entry: largeID, Tasks: repeat(n, wire.HeldTask{Key: sampleKey, Index: 200, Count: 400, Outcome: job.OK})}
	}},
	{"byte of the body", func(n int) wire.Message {
		return &wire.Query{ID: 100_000, Key: sampleKey, Digest: job.Digest(sampleKey), BudgetMS: 30_000, Body: make([]byte, n)}
	}},
	{"byte of the answer", func(n int) wire.Message { return &wire.QueryReply{ID: 100_000, Answer: make([]byte, n)} }},
	{"file", func(n int) wire.Message {
		return &wire.Config{Offset: 100_000, Files: repeat(n, wire.ConfigFile{Name: "team-001.json", Version: 100_000,
			Content: configFolder(1)[1].Content})}
	}},
	{"team", func(n int) wire.Message {
		return &wire.Quota{Shares: repeat(n, wire.QuotaShare{Team: "team-01", Demand: 1234.5, Loan: 12.3}), Seq: 100_000, EchoSeq: 100_000}
	}},
}

// sampleKey is a key hash of the usual encoded size.
var sampleKey = job.KeyHash(bytes.Repeat([]byte{0xff}, len(job.KeyHash{})))

// repeat returns a slice of n copies of v.
func repeat[T any](n int, v T) []T {
	list := make([]T, n)
	for i := range list {
		list[i] = v
	}
	return list
}

// newDispatch returns a dispatch of n tasks with the same input.
func newDispatch(n int, input []byte) *wire.Dispatch {
	return &wire.Dispatch{Agent: largeID, Entry: largeID, Tasks: repeat(n, wire.DispatchTask{Seq: 1_000_000, Key: sampleKey, Index: 200,
		Count: 400, Attempt: 1, BudgetMS: 30_000, Input: input})}
}

// newAnswers returns the answers to n tasks with the same output.
func newAnswers(n int, output []byte) *wire.Answers {
	return &wire.Answers{Agent: largeID, Entry: largeID, Load: wire.Load{Running: 8, Queued: 2},
		Tasks: repeat(n, wire.TaskAnswer{Seq: 1_000_000, Attempt: 1, Outcome: job.OK, Output: output, RunMS: 600})}
}

func measureMessages(o Options) ([]Measurement, error) {
	var measurements []Measurement
	for _, messageCase := range messageCases {
		f := Measurement{Name: "message: bytes of " + wire.KindName(messageCase.build(1)), Unit: "B", Per: messageCase.per}
		for _, n := range elementCounts {
			frame, err := wire.Append(nil, messageCase.build(n))
			if err != nil {
				return nil, err
			}
			f.Points = append(f.Points, Point{float64(n), float64(len(frame))})
		}
		measurements = append(measurements, f)
	}
	rest, err := collect(claimsRecordBytes, membersRecordBytes, configSnapshotBytes,
		func() (Measurement, error) {
			return o.codecTime("message: processor time to encode a dispatch", func(n int) wire.Message { return newDispatch(n, payload) }, false)
		},
		func() (Measurement, error) {
			return o.codecTime("message: processor time to decode a dispatch", func(n int) wire.Message { return newDispatch(n, payload) }, true)
		},
		func() (Measurement, error) {
			return o.codecTime("message: processor time to encode answers", func(n int) wire.Message { return newAnswers(n, payload) }, false)
		},
		func() (Measurement, error) {
			return o.codecTime("message: processor time to decode answers", func(n int) wire.Message { return newAnswers(n, payload) }, true)
		},
	)
	return append(measurements, rest...), err
}

func claimsRecordBytes() (Measurement, error) {
	f := Measurement{Name: "message: bytes of a claims record", Unit: "B", Per: "claim"}
	for _, n := range elementCounts {
		data, err := claims.EncodeRecord(claims.Record{Entry: largeID, Nonce: 1 << 63, Pairs: make([]claims.Pair, n)})
		if err != nil {
			return f, err
		}
		f.Points = append(f.Points, Point{float64(n), float64(len(data))})
	}
	return f, nil
}

func membersRecordBytes() (Measurement, error) {
	f := Measurement{Name: "message: bytes of a members record", Unit: "B", Per: "(fixed)"}
	data, err := membership.Encode(membership.Announcement{Entry: wire.EntryAddress{Incarnation: largeID, Name: "entry-000001",
		Zone: "zone-1", PeerAddr: "10.100.100.100:7400"}})
	for _, n := range elementCounts {
		f.Points = append(f.Points, Point{float64(n), float64(len(data))})
	}
	return f, err
}

func configSnapshotBytes() (Measurement, error) {
	f := Measurement{Name: "message: bytes of a configuration snapshot", Unit: "B", Per: "file"}
	for _, teams := range []int{41, 82, 164} {
		state := config.NewState()
		state.Restore(100_000, configFolder(teams))
		data, err := state.EncodeSnapshot()
		if err != nil {
			return f, err
		}
		f.Points = append(f.Points, Point{float64(teams + 1), float64(len(data))})
	}
	return f, nil
}

// codecTime measures the processor time to encode, or decode, messages of several
// tasks. The intercept is the cost of a message without tasks.
func (o Options) codecTime(name string, build func(n int) wire.Message, decode bool) (Measurement, error) {
	const rounds = 2000
	return o.measureCPUTime(name, "task", []int{1, 4, 16, 64}, rounds, func(n int) (func() error, error) {
		m := build(n)
		frame, err := wire.Append(nil, m)
		return func() error {
			for range rounds {
				if decode {
					_, err = wire.Read(bytes.NewReader(frame))
				} else {
					frame, err = wire.Append(frame[:0], m)
				}
				if err != nil && err != io.EOF {
					return err
				}
			}
			return nil
		}, err
	})
}
