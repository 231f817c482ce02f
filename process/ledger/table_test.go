package ledger

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/request/batch"
)

// readTime is the time passed to Apply for most records.
var readTime = time.UnixMilli(1_000_000)

// logBuilder builds a log record by record.
type logBuilder struct {
	t       *testing.T
	records []Record
}

// add appends a record and fails the test if it could not be encoded.
func (s *logBuilder) add(r Record, err error) {
	if err != nil {
		s.t.Fatal(err)
	}
	s.records = append(s.records, r)
}

func (s *logBuilder) accept(id batch.ID, term uint64, owner Owner, progress ...TaskProgress) {
	s.add(AcceptRecord(term, owner, AcceptedJob{Job: batch.Job{ID: id, Steps: []batch.Step{{Tasks: 2}}}, Service: "card", Queue: "q", Progress: Progress{State: Open, Tasks: progress}}))
}

func (s *logBuilder) progress(id batch.ID, term uint64, owner Owner, state State, tasks ...TaskProgress) {
	s.add(ProgressRecord(id, term, owner, Progress{State: state, Tasks: tasks}))
}

// applyAll applies all records in order, like a process that has followed the log.
func (s *logBuilder) applyAll() *Table {
	table := NewTable()
	for offset, r := range s.records {
		if _, err := table.Apply(readTime, uint64(offset), r); err != nil {
			s.t.Fatal(err)
		}
	}
	return table
}

// applyNewest applies the newest record of each key in random order, like a process
// that starts later and begins with a snapshot of the log.
func (s *logBuilder) applyNewest(random *rand.Rand) *Table {
	newest := make(map[string]int)
	for offset, r := range s.records {
		newest[r.Key] = offset
	}
	var offsets []int
	for key, offset := range newest {
		if len(s.records[offset].Value) > 0 || strings.HasPrefix(key, string(kindHeartbeat)) {
			offsets = append(offsets, offset)
		}
	}
	slices.Sort(offsets)
	random.Shuffle(len(offsets), func(i, j int) { offsets[i], offsets[j] = offsets[j], offsets[i] })
	table := NewTable()
	for _, offset := range offsets {
		if _, err := table.Apply(readTime, uint64(offset), s.records[offset]); err != nil {
			s.t.Fatal(err)
		}
	}
	return table
}

// Guards against readers that disagree about the owner or the progress of a job
// because one has followed the log and another began with its newest records.
func TestReadersAgreeOnOwnerAndProgress(t *testing.T) {
	done := TaskProgress{Index: 1, Done: true}
	cases := map[string]struct {
		write func(s *logBuilder)
		owner Owner
		term  uint64
		state State
		tasks int
	}{
		"two claims of the same term": {func(s *logBuilder) {
			s.accept("j", 1, "b")
			s.accept("j", 1, "a")
			s.progress("j", 1, "a", Completed)
		}, "b", 1, Open, 0},
		"a claim of a later term": {func(s *logBuilder) {
			s.accept("j", 1, "a")
			s.progress("j", 1, "a", Open, done)
			s.accept("j", 2, "b", done)
			s.progress("j", 1, "a", Completed)
		}, "b", 2, Open, 1},
		"a losing claim that was deleted": {func(s *logBuilder) {
			s.accept("j", 1, "a")
			s.accept("j", 1, "b")
			s.progress("j", 1, "a", Failed)
			s.records = append(s.records, Record{Key: claimKey(kindAccept, "j", 1, "b")})
		}, "a", 1, Failed, 0},
		"an ended job whose other records were deleted": {func(s *logBuilder) {
			s.accept("j", 1, "a")
			s.progress("j", 1, "a", Open, done)
			s.accept("j", 2, "b", done)
			s.progress("j", 2, "b", Completed)
			s.records = append(s.records, s.applyAll().EndedTombstones("j", 2, "b")...)
		}, "b", 2, Completed, 0},
		"a claim that arrives after the end": {func(s *logBuilder) {
			s.accept("j", 1, "a")
			s.progress("j", 1, "a", Cancelled)
			s.records = append(s.records, s.applyAll().EndedTombstones("j", 1, "a")...)
			s.accept("j", 1, "b")
		}, "a", 1, Cancelled, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &logBuilder{t: t}
			c.write(s)
			tables := []*Table{s.applyAll()}
			for seed := range uint64(8) {
				tables = append(tables, s.applyNewest(rand.New(rand.NewPCG(seed, 1))))
			}
			for _, table := range tables {
				v, known := table.Job("j")
				if !known || v.Owner != c.owner || v.Term != c.term || v.Progress.State != c.state || len(v.Progress.Tasks) != c.tasks {
					t.Errorf("job known %v, %+v; expected owner %s, term %d, state %s and %d tasks", known, v, c.owner, c.term, c.state, c.tasks)
				}
			}
		})
	}
}

// Guards against a losing claim that stays in the log because its owner gets no
// tombstone for it, and against a tombstone for the winning claim.
func TestLosingClaimIsDropped(t *testing.T) {
	s := &logBuilder{t: t}
	s.accept("j", 1, "a")
	s.accept("j", 1, "b")
	table := s.applyAll()
	if got := table.LosingClaimTombstones("j", "b"); len(got) != 1 || len(got[0].Value) != 0 {
		t.Errorf("tombstones of b, which lost: %+v, expected one", got)
	}
	if got := table.LosingClaimTombstones("j", "a"); len(got) != 0 {
		t.Errorf("tombstones of a, which won: %+v, expected none", got)
	}
}

// Guards against taking jobs from a live owner, and against leaving the jobs of a
// dead one without an owner. An owner is dead if it is silent or was replaced on its
// instance.
func TestDeadOwners(t *testing.T) {
	s := &logBuilder{t: t}
	s.accept("open", 1, "a")
	s.accept("ended", 1, "a")
	s.progress("ended", 1, "a", Completed)
	s.accept("other", 1, "b")
	s.add(HeartbeatRecord("a", Heartbeat{Node: "node-1"}))
	table := s.applyAll()
	later := readTime.Add(time.Minute)
	r, err := HeartbeatRecord("b", Heartbeat{Node: "node-2"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Apply(later, 100, r); err != nil {
		t.Fatal(err)
	}
	silent := table.DeadOwners(later, "node-9", "c")
	if len(silent) != 1 || silent[0].Owner != "a" || !slices.Equal(silent[0].OpenJobs, []batch.ID{"open"}) {
		t.Errorf("silent owners: %+v, expected a with its open job", silent)
	}
	if same := table.DeadOwners(readTime, "node-2", "c"); len(same) != 1 || same[0].Owner != "b" {
		t.Errorf("replaced owners of the instance: %+v, expected b", same)
	}
	if own := table.DeadOwners(later, "node-1", "a"); len(own) != 0 {
		t.Errorf("self among the dead owners: %+v", own)
	}
}

// Guards against records of an ended job that readers who start later would have to
// read, although only the state of the job is needed.
func TestEndedJobKeepsOneRecord(t *testing.T) {
	s := &logBuilder{t: t}
	s.accept("j", 1, "a")
	s.progress("j", 1, "a", Open)
	s.accept("j", 2, "b")
	s.add(CancelRecord("j"))
	s.progress("j", 2, "b", Completed)
	newest := make(map[string]bool)
	for _, r := range append(s.records, s.applyAll().EndedTombstones("j", 2, "b")...) {
		newest[r.Key] = len(r.Value) > 0
	}
	for key, kept := range newest {
		if want := key == claimKey(kindProgress, "j", 2, "b"); kept != want {
			t.Errorf("record %s kept: %v, expected %v", key, kept, want)
		}
	}
}

// Guards against a record of each former owner that stays in the log forever, and
// against deleting the record of an owner that has jobs.
func TestTombstonesRemoveSilentOwners(t *testing.T) {
	s := &logBuilder{t: t}
	s.accept("open", 1, "a")
	for _, owner := range []Owner{"a", "b"} {
		s.add(HeartbeatRecord(owner, Heartbeat{Node: "node"}))
	}
	tombstones := s.applyAll().ExpiredTombstones(readTime.Add(time.Second))
	if len(tombstones) != 1 || tombstones[0].Key != string(kindHeartbeat)+"/b" || len(tombstones[0].Value) > 0 {
		t.Errorf("tombstones %+v, expected one of owner b", tombstones)
	}
}

// Guards against records that stay in the log forever after their job has ended
// because no tombstone is written for them, and against tombstones for open jobs.
func TestTombstonesRemoveExpiredJobs(t *testing.T) {
	s := &logBuilder{t: t}
	s.accept("j", 1, "a")
	s.accept("j", 2, "b")
	s.add(CancelRecord("j"))
	s.progress("j", 2, "b", Cancelled)
	s.accept("open", 1, "a")
	table := s.applyAll()
	tombstones := table.ExpiredTombstones(readTime.Add(time.Second))
	for offset, r := range tombstones {
		if _, err := table.Apply(readTime, uint64(1000+offset), r); err != nil {
			t.Fatal(err)
		}
	}
	if _, known := table.Job("j"); known || len(table.jobs) != 1 {
		t.Errorf("jobs left: %v, expected only the open one", table.jobs)
	}
	if _, known := table.Job("open"); !known {
		t.Error("the open job was deleted")
	}
}

// Guards against a reader that takes a foreign or undecodable record for a job, or
// that can't skip a foreign record because its error is not marked as such.
func TestForeignRecordsAreRejected(t *testing.T) {
	table := NewTable()
	for _, r := range []Record{{Key: "x"}, {Key: "j/a/notanumber/b", Value: []byte{1}}, {Key: "", Value: []byte("?")}} {
		if _, err := table.Apply(readTime, 0, r); !errors.Is(err, ErrForeign) {
			t.Errorf("key %q: error %v, expected ErrForeign", r.Key, err)
		}
	}
	if _, err := table.Apply(readTime, 0, Record{Key: claimKey(kindAccept, "j", 1, "a"), Value: []byte{0xff}}); err == nil {
		t.Error("an undecodable accept record gives no error")
	}
	if _, known := table.Job("j"); known {
		t.Error("a job is known by an undecodable accept record")
	}
}

// Guards against a record that makes every entry fail that takes the job over: a job
// that no caller could have submitted, or progress of tasks that no job has.
func TestMalformedRecordsAreRejected(t *testing.T) {
	step := batch.Step{Tasks: 1}
	accepted := func(p Progress, steps ...batch.Step) Record {
		r, err := AcceptRecord(1, "a", AcceptedJob{Job: batch.Job{ID: "j", Steps: steps}, Progress: p})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	negative := Progress{State: Open, Tasks: []TaskProgress{{Index: -1, Done: true}}}
	progress, err := ProgressRecord("j", 1, "a", negative)
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]Record{
		"no steps":                      accepted(Progress{State: Open}),
		"depends on a later step":       accepted(Progress{State: Open}, batch.Step{Tasks: 1, DependsOn: []int{5}}),
		"too many tasks":                accepted(Progress{State: Open}, batch.Step{Tasks: 1 << 40}),
		"accepted with negative index":  accepted(negative, step),
		"progress with negative index":  progress,
		"heartbeat without an owner":    {Key: "a/", Value: []byte{0xa0}},
		"accepted without an owner":     {Key: claimKey(kindAccept, "j", 1, ""), Value: accepted(Progress{State: Open}, step).Value},
		"cancelled without a job":       {Key: "c/", Value: []byte{0xf5}},
		"progress without a known kind": {Key: claimKey(kindProgress, "j", 1, "a"), Value: []byte{0xa0}},
	}
	for name, r := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			if _, err := table.Apply(readTime, 0, r); err == nil {
				t.Error("the record was applied")
			}
			if v, known := table.Job("j"); known {
				t.Errorf("the job is known: %+v", v)
			}
		})
	}
}
