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

// dedupeWindow is that of the claims table, the age up to which claims are kept.
const dedupeWindow = 10 * time.Minute

// otherEntryRecords returns claim records of another entry, each with a number of
// claims of distinct random keys.
func otherEntryRecords(records, claimsPerRecord int) []logclient.Record {
	random := rand.New(rand.NewPCG(1, uint64(records)))
	list := make([]logclient.Record, records)
	for i := range list {
		r := claims.Record{Entry: 2, Nonce: random.Uint64(), Pairs: make([]claims.Pair, claimsPerRecord)}
		for j := range r.Pairs {
			binary.BigEndian.PutUint64(r.Pairs[j].Key[:], random.Uint64())
			binary.BigEndian.PutUint64(r.Pairs[j].Digest[:], random.Uint64())
		}
		data, err := claims.EncodeRecord(r)
		if err != nil {
			panic(err) // a record of fixed-size fields can always be encoded
		}
		list[i] = logclient.Record{Offset: uint64(i + 1), Time: epoch.Add(time.Duration(i) * time.Millisecond), Data: data}
	}
	return list
}

func measureClaims(o Options) ([]Measurement, error) {
	return collect(
		func() (Measurement, error) {
			return o.measureBytes("claims: heap per claim in the table", "claim", []int{125_000, 250_000, 500_000, 1_000_000}, newClaimTable)
		},
		func() (Measurement, error) {
			return o.claimReadTime("claims: processor time per record of 1 claim read", "record", []int{20_000, 40_000, 80_000},
				func(n int) (records, claimsPerRecord int) { return n, 1 })
		},
		func() (Measurement, error) {
			return o.claimReadTime("claims: processor time per claim read in records of 100", "claim", []int{100_000, 200_000, 400_000},
				func(n int) (records, claimsPerRecord int) { return n / 100, 100 })
		},
	)
}

// newClaimTable returns a table that holds n claims. A map doubles its capacity at
// once, so the bytes at one size depend on how full the map is.
func newClaimTable(n int) (any, error) {
	table := claims.NewTable(dedupeWindow)
	for _, r := range otherEntryRecords(n/100, 100) {
		if _, err := table.Apply(r.Offset, r.Time, r.Data); err != nil {
			return nil, err
		}
	}
	return table, nil
}

// claimReadTime measures the processor time of an entry core that reads pages of
// the claims stream. shape returns the number of records and of claims in each.
func (o Options) claimReadTime(name, per string, sizes []int, shape func(int) (records, claimsPerRecord int)) (Measurement, error) {
	const page = 100
	return o.measureCPUTime(name, per, sizes, 1, func(n int) (func() error, error) {
		h := newEntryHarness(0)
		records := otherEntryRecords(shape(n))
		return func() error {
			for len(records) > 0 {
				count := min(page, len(records))
				next := records[count-1].Offset + 1
				if err := h.core.ClaimRecords(logclient.Page{First: 1, Next: next, Records: records[:count]}); err != nil {
					return err
				}
				records = records[count:]
			}
			return nil
		}, nil
	})
}

// otherEntries is the number of entries to which quota is lent and from which it is
// borrowed.
const otherEntries = 5

func measureQuota(o Options) ([]Measurement, error) {
	teams := []int{41, 82, 164, 328}
	return collect(
		func() (Measurement, error) {
			return o.measureBytes(fmt.Sprintf("quota: heap per team, %d other entries", otherEntries), "team", teams, func(n int) (any, error) {
				return sharesAfterReports(n), nil
			})
		},
		func() (Measurement, error) {
			const seconds = 20
			return o.measureCPUTime(fmt.Sprintf("quota: processor time per second, %d other entries", otherEntries), "team", teams, seconds,
				func(n int) (func() error, error) {
					s := sharesAfterReports(n)
					return func() error { exchangeReports(s, n, epoch.Add(time.Hour), 2*seconds); return nil }, nil
				})
		},
	)
}

// sharesAfterReports returns the shares of an entry that has exchanged reports
// about every team with every other entry.
func sharesAfterReports(teams int) *quota.Shares {
	s := quota.New(epoch, 1)
	quotas := make(map[string]quota.Quota, teams)
	for i := range teams {
		quotas[fmt.Sprint("team-", i)] = quota.Quota{Rate: 1000, Burst: 1000}
	}
	s.SetQuotas(quotas)
	entries := []wire.Incarnation{1}
	for i := range otherEntries {
		entries = append(entries, wire.Incarnation(2+i))
	}
	s.SetEntries(epoch, entries)
	exchangeReports(s, teams, epoch.Add(time.Minute), 10)
	return s
}

// exchangeReports takes task starts of every team, and then exchanges a report with
// every other entry, once in each round. A round lasts quota.ReportInterval.
func exchangeReports(s *quota.Shares, teams int, now time.Time, rounds int) {
	for round := range rounds {
		now = now.Add(quota.ReportInterval)
		for i := range teams {
			s.Take(now, fmt.Sprint("team-", i), 10)
		}
		for p := range otherEntries {
			id := wire.Incarnation(2 + p)
			sent := s.Report(now, id)
			s.Receive(now, id, reportOfEveryTeam(teams, uint64(now.UnixMilli())+uint64(round), sent.Seq))
		}
	}
}

// reportOfEveryTeam returns the report of another entry about every team.
func reportOfEveryTeam(teams int, seq, echo uint64) quota.Message {
	m := quota.Message{Seq: seq, Echo: echo}
	for i := range teams {
		m.Teams = append(m.Teams, quota.TeamReport{Team: fmt.Sprint("team-", i), Demand: 300, Loan: 10})
	}
	return m
}

// configFolder returns the settings files of one service and a number of teams,
// one file each.
func configFolder(teams int) []config.File {
	files := []config.File{{Name: "service-card.json", Version: 1, Content: []byte(`{"services":{"card":{"queue_limit":20000}}}`)}}
	for i := range teams {
		files = append(files, config.File{Name: fmt.Sprintf("team-%03d.json", i), Version: uint64(i + 2),
			Content: fmt.Appendf(nil, `{"teams":{"team-%d":{"starts_per_second":%d,"burst":2000}}}`, i, 1000+i)})
	}
	return files
}

// encodingHarness encodes every message to an agent, as a connection does for each
// receiver.
type encodingHarness struct {
	*entryHarness
	buffer       []byte
	encodedBytes int
	encodeErr    error
}

// SendAgent implements entry.Env.
func (h *encodingHarness) SendAgent(_ wire.Incarnation, m wire.Message) {
	frame, err := wire.Append(h.buffer[:0], m)
	if err != nil {
		h.encodeErr = err
	}
	h.buffer = frame
	h.encodedBytes += len(frame)
}

func measureConfig(o Options) ([]Measurement, error) {
	const changes = 20
	return collect(
		func() (Measurement, error) {
			return o.measureCPUTime("config: processor time per change, 42 files", "agent", []int{225, 450, 900, 1800}, changes,
				func(n int) (func() error, error) { return prepareConfigChanges(n, 41, changes), nil })
		},
		func() (Measurement, error) {
			return o.measureCPUTime("config: processor time per change, no agents", "file", []int{41, 82, 164, 328}, changes,
				func(n int) (func() error, error) { return prepareConfigChanges(0, n, changes), nil })
		},
		func() (Measurement, error) { return configMessageBytes() },
	)
}

// prepareConfigChanges returns a function that merges a folder, puts it in force
// and pushes it to the agents, as often as changes says.
func prepareConfigChanges(agents, teams, changes int) func() error {
	h := &encodingHarness{entryHarness: &entryHarness{now: epoch}}
	h.startCore(h, agents)
	files := configFolder(teams)
	return func() error {
		for i := range changes {
			merged, _ := config.Merge(files)
			h.core.Configure(merged.Config)
			h.core.SendConfig(uint64(10_000+i), files)
		}
		runtime.KeepAlive(h)
		return h.encodeErr
	}
}

// configMessageBytes measures the encoded size of the message with all files of a
// folder.
func configMessageBytes() (Measurement, error) {
	f := Measurement{Name: "config: bytes of a pushed configuration", Unit: "B", Per: "file"}
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
