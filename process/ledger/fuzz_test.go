package ledger

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/azurerouter/azurerouter/request/batch"
)

// splitFuzzRecords splits fuzzer input into records: for each the lengths of its key and
// its value, one byte each, and both.
func splitFuzzRecords(data []byte) []Record {
	var records []Record
	for len(data) >= 2 {
		keyLength, valueLength := int(data[0]), int(data[1])
		data = data[2:]
		keyLength = min(keyLength, len(data))
		key := string(data[:keyLength])
		data = data[keyLength:]
		valueLength = min(valueLength, len(data))
		records = append(records, Record{Key: key, Value: data[:valueLength]})
		data = data[valueLength:]
	}
	return records
}

// joinFuzzRecords reverses splitFuzzRecords.
func joinFuzzRecords(records []Record) []byte {
	var data []byte
	for _, r := range records {
		data = append(data, byte(len(r.Key)), byte(len(r.Value)))
		data = append(data, r.Key...)
		data = append(data, r.Value...)
	}
	return data
}

// oddRecords returns records that no process of this project appends.
func oddRecords(tb testing.TB) []Record {
	encode := func(value any) []byte {
		data, err := cbor.Marshal(value)
		if err != nil {
			tb.Fatal(err)
		}
		return data
	}
	heartbeat, open := encode(Heartbeat{Node: "n"}), encode(Progress{State: Open})
	return []Record{
		{"a/", heartbeat}, {"a/", nil}, {"a//", heartbeat}, {"a", heartbeat}, {"", heartbeat}, {"/", nil}, {"a/x", []byte{0xff}}, {"a/x", nil},
		{"j//1/x", open}, {"j/k//x", open}, {"j/k/1/", open}, {"j/k/1/x", open}, {"j/k/-1/x", open}, {"j/k/99999999999999999999/x", open},
		{"s//1/x", open}, {"s/k/1/x", open}, {"s/k/18446744073709551615/x", open}, {"s/k/1/x", encode(Progress{State: "odd"})},
		{"s/k/1/x", encode(Progress{State: Completed, Tasks: []TaskProgress{{Step: -1}}})}, {"c/", encode(true)}, {"c/k", encode(true)}, {"c/k", nil},
		{"j/k/1/x", encode(AcceptedJob{Job: batch.Job{ID: "k"}})}, {"j/k/1/x", encode([]int{1, 2})}, {"j/k/1/x", nil}, {"s/k/1/x", nil},
	}
}

// applyFuzzRecords applies records and asks for everything that the table offers, for each
// of them.
func applyFuzzRecords(records []Record) {
	table, now := NewTable(), readTime
	for offset, r := range records {
		now = now.Add(time.Second)
		id, _ := table.Apply(now, uint64(offset), r)
		table.Job(id)
		table.LosingClaimTombstones(id, "x")
		table.EndedTombstones(id, 1, "x")
		table.OpenJobs("x")
		table.DeadOwners(now, "n", "x")
		table.LastSeen("x")
		table.ExpiredTombstones(now)
		table.Waiting("card", "q", "a", func(batch.ID) bool { return false })
	}
}

// Guards against records of another writer that end an entry whenever it reads them, so
// that it never serves again.
func TestOddRecordsAreReadWithoutHarm(t *testing.T) {
	odd := oddRecords(t)
	applyFuzzRecords(odd)
	for _, r := range odd {
		applyFuzzRecords([]Record{r, {Key: r.Key}, r})
	}
}

// Guards against the same for any records.
func FuzzApply(f *testing.F) {
	b := logBuilder{}
	b.accept("k", 1, "x", TaskProgress{Index: 1, Done: true})
	b.progress("k", 1, "x", Open, TaskProgress{FailedRuns: 1, SuspectedRuns: []int{3}})
	b.add(CancelRecord("k"))
	b.add(HeartbeatRecord("x", Heartbeat{Node: "n"}))
	b.accept("k", 2, "y")
	b.progress("k", 2, "y", Completed)
	f.Add(joinFuzzRecords(b.records))
	odd := oddRecords(f)
	f.Add(joinFuzzRecords(odd))
	for _, r := range odd {
		f.Add(joinFuzzRecords(append(b.records[:1:1], r)))
	}
	f.Fuzz(func(_ *testing.T, data []byte) { applyFuzzRecords(splitFuzzRecords(data)) })
}
