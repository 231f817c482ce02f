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

// largeID has the encoded size of an incarnation drawn at random.
const largeID wire.Incarnation = 1 << 63

// messageSizes are the sizes at which every message type is encoded.
var messageSizes = []int{1, 10, 100, 1000}

// messageForms builds each message type with a number of repeated elements.
// Messages without any give a slope of 0 and their bytes as the intercept.
var messageForms = []struct {
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
		return &wire.Resume{High: 1_000_000, Unreleased: repeat(n, uint64(1_000_000))}
	}},
	{"task without its input", func(n int) wire.Message { return dispatchOf(n, nil) }},
	{"task without its output", func(n int) wire.Message { return answersOf(n, nil) }},
	{"sequence", func(n int) wire.Message { return &wire.Cancel{Entry: largeID, Seqs: repeat(n, uint64(1_000_000))} }},
	{"(fixed)", func(int) wire.Message { return &wire.Leaving{} }},
	{"(fixed)", func(int) wire.Message { return &wire.Fence{Entry: largeID, SilentMS: 3000} }},
	{"task without its output", func(n int) wire.Message {
		return &wire.Fenced{Entry: largeID, Tasks: repeat(n, wire.HeldTask{Key: fullKey, Index: 200, Count: 400, Outcome: job.OK})}
	}},
	{"byte of the body", func(n int) wire.Message {
		return &wire.Query{ID: 100_000, Key: fullKey, Digest: job.Digest(fullKey), BudgetMS: 30_000, Body: make([]byte, n)}
	}},
	{"byte of the answer", func(n int) wire.Message { return &wire.QueryReply{ID: 100_000, Answer: make([]byte, n)} }},
	{"file", func(n int) wire.Message {
		return &wire.Config{Offset: 100_000, Files: repeat(n, wire.ConfigFile{Name: "team-001.json", Version: 100_000,
			Content: configFolder(1)[1].Content})}
	}},
	{"team", func(n int) wire.Message {
		return &wire.Quota{Shares: repeat(n, wire.QuotaShare{Team: "team-01", Demand: 1234.5, Loan: 12.3}), Seq: 100_000, Echo: 100_000}
	}},
}

var fullKey = job.KeyHash(bytes.Repeat([]byte{0xff}, len(job.KeyHash{})))

func repeat[T any](n int, v T) []T {
	list := make([]T, n)
	for i := range list {
		list[i] = v
	}
	return list
}

func dispatchOf(n int, input []byte) *wire.Dispatch {
	return &wire.Dispatch{Agent: largeID, Entry: largeID, Tasks: repeat(n, wire.DispatchTask{Seq: 1_000_000, Key: fullKey, Index: 200,
		Count: 400, Attempt: 1, BudgetMS: 30_000, Input: input})}
}

func answersOf(n int, output []byte) *wire.Answers {
	return &wire.Answers{Agent: largeID, Entry: largeID, Load: wire.Load{Running: 8, Queued: 2},
		Tasks: repeat(n, wire.TaskAnswer{Seq: 1_000_000, Attempt: 1, Outcome: job.OK, Output: output, RunMS: 600})}
}

func messageFigures(o Options) ([]Figure, error) {
	var figures []Figure
	for _, form := range messageForms {
		f := Figure{Name: "message: bytes of " + wire.KindName(form.build(1)), Unit: "B", Per: form.per}
		for _, n := range messageSizes {
			frame, err := wire.Append(nil, form.build(n))
			if err != nil {
				return nil, err
			}
			f.Points = append(f.Points, Point{float64(n), float64(len(frame))})
		}
		figures = append(figures, f)
	}
	more, err := collect(recordBytes, announcementBytes, snapshotBytes,
		func() (Figure, error) {
			return o.codecTime("message: processor time to encode a dispatch", func(n int) wire.Message { return dispatchOf(n, payload) }, false)
		},
		func() (Figure, error) {
			return o.codecTime("message: processor time to decode a dispatch", func(n int) wire.Message { return dispatchOf(n, payload) }, true)
		},
		func() (Figure, error) {
			return o.codecTime("message: processor time to encode answers", func(n int) wire.Message { return answersOf(n, payload) }, false)
		},
		func() (Figure, error) {
			return o.codecTime("message: processor time to decode answers", func(n int) wire.Message { return answersOf(n, payload) }, true)
		},
	)
	return append(figures, more...), err
}

func recordBytes() (Figure, error) {
	f := Figure{Name: "message: bytes of a claims record", Unit: "B", Per: "claim"}
	for _, n := range messageSizes {
		data, err := claims.EncodeRecord(claims.Record{Entry: largeID, Nonce: 1 << 63, Pairs: make([]claims.Pair, n)})
		if err != nil {
			return f, err
		}
		f.Points = append(f.Points, Point{float64(n), float64(len(data))})
	}
	return f, nil
}

func announcementBytes() (Figure, error) {
	f := Figure{Name: "message: bytes of a members record", Unit: "B", Per: "(fixed)"}
	data, err := membership.Encode(membership.Announcement{Entry: wire.EntryAddress{Incarnation: largeID, Name: "entry-000001",
		Zone: "zone-1", PeerAddr: "10.100.100.100:7400"}})
	for _, n := range messageSizes {
		f.Points = append(f.Points, Point{float64(n), float64(len(data))})
	}
	return f, err
}

func snapshotBytes() (Figure, error) {
	f := Figure{Name: "message: bytes of a configuration snapshot", Unit: "B", Per: "file"}
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

// codecTime measures messages of several tasks; the intercept is the cost of a
// message without any.
func (o Options) codecTime(name string, build func(n int) wire.Message, decode bool) (Figure, error) {
	const rounds = 2000
	return o.timeOf(name, "task", []int{1, 4, 16, 64}, rounds, func(n int) (func() error, error) {
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
