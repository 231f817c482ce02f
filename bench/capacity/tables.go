package capacity

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/claims"
	"github.com/azurerouter/azurerouter/process/quota"
	"github.com/azurerouter/azurerouter/version/config"
)

const dedupeWindow = 10 * time.Minute

// foreignRecords returns claim records of another entry, each with a number of
// fresh keys.
func foreignRecords(records, pairs int) []logclient.Record {
	random := rand.New(rand.NewPCG(1, uint64(records)))
	list := make([]logclient.Record, records)
	for i := range list {
		r := claims.Record{Entry: 2, Nonce: random.Uint64(), Pairs: make([]claims.Pair, pairs)}
		for j := range r.Pairs {
			binary.BigEndian.PutUint64(r.Pairs[j].Key[:], random.Uint64())
			binary.BigEndian.PutUint64(r.Pairs[j].Digest[:], random.Uint64())
		}
		data, err := claims.EncodeRecord(r)
		if err != nil {
			panic(err) // a record of fixed-size fields always has an encoding
		}
		list[i] = logclient.Record{Offset: uint64(i + 1), Time: epoch.Add(time.Duration(i) * time.Millisecond), Data: data}
	}
	return list
}

func claimFigures(o Options) ([]Figure, error) {
	return collect(
		func() (Figure, error) {
			return o.bytesOf("claims: heap per claim in the table", "claim", []int{125_000, 250_000, 500_000, 1_000_000}, claimTable)
		},
		func() (Figure, error) {
			return o.readTime("claims: processor time per record of 1 claim read", "record", []int{20_000, 40_000, 80_000},
				func(n int) (records, pairs int) { return n, 1 })
		},
		func() (Figure, error) {
			return o.readTime("claims: processor time per claim read in records of 100", "claim", []int{100_000, 200_000, 400_000},
				func(n int) (records, pairs int) { return n / 100, 100 })
		},
	)
}

// claimTable holds n claims. A map doubles at once, so that the bytes of one
// size depend on how full its map happens to be.
func claimTable(n int) (any, error) {
	table := claims.NewTable(dedupeWindow)
	for _, r := range foreignRecords(n/100, 100) {
		if _, err := table.Apply(r.Offset, r.Time, r.Data); err != nil {
			return nil, err
		}
	}
	return table, nil
}

// readTime measures an entry core that reads pages of the claims stream.
func (o Options) readTime(name, per string, sizes []int, shape func(int) (records, pairs int)) (Figure, error) {
	const page = 100
	return o.timeOf(name, per, sizes, 1, func(n int) (func() error, error) {
		r := newEntryRig(0)
		records := foreignRecords(shape(n))
		return func() error {
			for len(records) > 0 {
				count := min(page, len(records))
				next := records[count-1].Offset + 1
				if err := r.core.ClaimRecords(logclient.Page{First: 1, Next: next, Records: records[:count]}); err != nil {
					return err
				}
				records = records[count:]
			}
			return nil
		}, nil
	})
}

// quotaPeers is the number of other entries that a team's share is lent to and
// borrowed from.
const quotaPeers = 5

func quotaFigures(o Options) ([]Figure, error) {
	teams := []int{41, 82, 164, 328}
	return collect(
		func() (Figure, error) {
			return o.bytesOf(fmt.Sprintf("quota: heap per team, %d other entries", quotaPeers), "team", teams, func(n int) (any, error) {
				return busyShares(n), nil
			})
		},
		func() (Figure, error) {
			const seconds = 20
			return o.timeOf(fmt.Sprintf("quota: processor time per second, %d other entries", quotaPeers), "team", teams, seconds,
				func(n int) (func() error, error) {
					s := busyShares(n)
					return func() error { exchange(s, n, epoch.Add(time.Hour), 2*seconds); return nil }, nil
				})
		},
	)
}

// busyShares returns the shares of an entry that has reported to, and heard
// from, every other one about every team.
func busyShares(teams int) *quota.Shares {
	s := quota.New(epoch, 1)
	quotas := make(map[string]quota.Quota, teams)
	for i := range teams {
		quotas[fmt.Sprint("team-", i)] = quota.Quota{Rate: 1000, Burst: 1000}
	}
	s.SetQuotas(quotas)
	entries := []wire.Incarnation{1}
	for i := range quotaPeers {
		entries = append(entries, wire.Incarnation(2+i))
	}
	s.SetEntries(epoch, entries)
	exchange(s, teams, epoch.Add(time.Minute), 10)
	return s
}

// exchange lets every other entry send its demand, and reports to each.
func exchange(s *quota.Shares, teams int, now time.Time, rounds int) {
	for round := range rounds {
		now = now.Add(quota.ReportInterval)
		for i := range teams {
			s.Take(now, fmt.Sprint("team-", i), 10)
		}
		for p := range quotaPeers {
			id := wire.Incarnation(2 + p)
			sent := s.Report(now, id)
			s.Receive(now, id, quotaReport(teams, uint64(now.UnixMilli())+uint64(round), sent.Seq))
		}
	}
}

// quotaReport is a message that names every team.
func quotaReport(teams int, seq, echo uint64) quota.Message {
	m := quota.Message{Seq: seq, Echo: echo}
	for i := range teams {
		m.Teams = append(m.Teams, quota.TeamReport{Team: fmt.Sprint("team-", i), Demand: 300, Loan: 10})
	}
	return m
}

// configFolder is a folder of one service and a number of teams, one file each.
func configFolder(teams int) []config.File {
	files := []config.File{{Name: "service-card.json", Version: 1, Content: []byte(`{"services":{"card":{"queue_limit":20000}}}`)}}
	for i := range teams {
		files = append(files, config.File{Name: fmt.Sprintf("team-%03d.json", i), Version: uint64(i + 2),
			Content: fmt.Appendf(nil, `{"teams":{"team-%d":{"starts_per_second":%d,"burst":2000}}}`, i, 1000+i)})
	}
	return files
}

// encodingRig encodes every message to an agent, as a connection does for each
// receiver.
type encodingRig struct {
	*entryRig
	buffer []byte
	bytes  int
	failed error
}

// SendAgent implements entry.Env.
func (r *encodingRig) SendAgent(_ wire.Incarnation, m wire.Message) {
	frame, err := wire.Append(r.buffer[:0], m)
	if err != nil {
		r.failed = err
	}
	r.buffer = frame
	r.bytes += len(frame)
}

func configFigures(o Options) ([]Figure, error) {
	const changes = 20
	return collect(
		func() (Figure, error) {
			return o.timeOf("config: processor time per change, 42 files", "agent", []int{225, 450, 900, 1800}, changes,
				func(n int) (func() error, error) { return configChanges(n, 41, changes), nil })
		},
		func() (Figure, error) {
			return o.timeOf("config: processor time per change, no agents", "file", []int{41, 82, 164, 328}, changes,
				func(n int) (func() error, error) { return configChanges(0, n, changes), nil })
		},
		func() (Figure, error) { return configBytes() },
	)
}

// configChanges merges a folder, puts it in force and pushes it to the agents,
// several times.
func configChanges(agents, teams, changes int) func() error {
	r := &encodingRig{entryRig: &entryRig{now: epoch}}
	r.connect(r, agents)
	files := configFolder(teams)
	return func() error {
		for i := range changes {
			merged, _ := config.Merge(files)
			r.core.Configure(merged.Config)
			r.core.PushConfig(uint64(10_000+i), files)
		}
		runtime.KeepAlive(r)
		return r.failed
	}
}

// configBytes counts the bytes of the message that carries a folder.
func configBytes() (Figure, error) {
	f := Figure{Name: "config: bytes of a pushed configuration", Unit: "B", Per: "file"}
	for _, teams := range []int{41, 82, 164, 328} {
		m := &wire.Config{Offset: 10_000}
		for _, file := range configFolder(teams) {
			m.Files = append(m.Files, wire.ConfigFile{Name: file.Name, Version: file.Version, Content: file.Content})
		}
		frame, err := wire.Append(nil, m)
		if err != nil {
			return f, err
		}
		f.Points = append(f.Points, Point{float64(len(m.Files)), float64(len(frame))})
	}
	return f, nil
}
