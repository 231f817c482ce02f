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

var start = time.UnixMilli(1_000_000)

// script builds a log record by record.
type script struct {
	t       *testing.T
	records []Record
}

func (s *script) add(r Record, err error) {
	if err != nil {
		s.t.Fatal(err)
	}
	s.records = append(s.records, r)
}

func (s *script) accept(id batch.ID, term uint64, owner Owner, progress ...TaskProgress) {
	s.add(AcceptRecord(term, owner, Accepted{Job: batch.Job{ID: id}, Service: "card", Queue: "q", Progress: Progress{State: Open, Tasks: progress}}))
}

func (s *script) progress(id batch.ID, term uint64, owner Owner, state State, tasks ...TaskProgress) {
	s.add(ProgressRecord(id, term, owner, Progress{State: state, Tasks: tasks}))
}

// read applies the whole log in order.
func (s *script) read() *Table {
	table := NewTable()
	for offset, r := range s.records {
		if _, err := table.Apply(start, uint64(offset), r); err != nil {
			s.t.Fatal(err)
		}
	}
	return table
}

// readNewest applies the newest record of each key in any order, as a process
// reads it that starts later.
func (s *script) readNewest(random *rand.Rand) *Table {
	newest := make(map[string]int)
	for offset, r := range s.records {
		newest[r.Key] = offset
	}
	var offsets []int
	for key, offset := range newest {
		if len(s.records[offset].Value) > 0 || strings.HasPrefix(key, string(kindAlive)) {
			offsets = append(offsets, offset)
		}
	}
	slices.Sort(offsets)
	random.Shuffle(len(offsets), func(i, j int) { offsets[i], offsets[j] = offsets[j], offsets[i] })
	table := NewTable()
	for _, offset := range offsets {
		if _, err := table.Apply(start, uint64(offset), s.records[offset]); err != nil {
			s.t.Fatal(err)
		}
	}
	return table
}

// Guards against readers that disagree about the owner of a job or how far it
// has come, whether they followed the log or began with its newest records.
func TestReadersAgree(t *testing.T) {
	done := TaskProgress{Index: 1, Done: true}
	cases := map[string]struct {
		write func(s *script)
		owner Owner
		term  uint64
		state State
		tasks int
	}{
		"the first of two owners": {func(s *script) {
			s.accept("j", 1, "b")
			s.accept("j", 1, "a")
			s.progress("j", 1, "a", Completed)
		}, "b", 1, Open, 0},
		"a later owner": {func(s *script) {
			s.accept("j", 1, "a")
			s.progress("j", 1, "a", Open, done)
			s.accept("j", 2, "b", done)
			s.progress("j", 1, "a", Completed)
		}, "b", 2, Open, 1},
		"a loser that has dropped its claim": {func(s *script) {
			s.accept("j", 1, "a")
			s.accept("j", 1, "b")
			s.progress("j", 1, "a", Failed)
			s.records = append(s.records, Record{Key: claimKey(kindAccept, "j", 1, "b")})
		}, "a", 1, Failed, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &script{t: t}
			c.write(s)
			tables := []*Table{s.read()}
			for seed := range uint64(8) {
				tables = append(tables, s.readNewest(rand.New(rand.NewPCG(seed, 1))))
			}
			for _, table := range tables {
				v, known := table.Job("j")
				if !known || v.Owner != c.owner || v.Term != c.term || v.Progress.State != c.state || len(v.Progress.Tasks) != c.tasks {
					t.Errorf("%+v", v)
				}
			}
		})
	}
}

// Guards against a claim that stays in the log beside the one that counts.
func TestLoserIsTold(t *testing.T) {
	s := &script{t: t}
	s.accept("j", 1, "a")
	s.accept("j", 1, "b")
	table := s.read()
	if got := table.Losers("j", "b"); len(got) != 1 || len(got[0].Value) != 0 {
		t.Errorf("losers of b: %+v", got)
	}
	if got := table.Losers("j", "a"); len(got) != 0 {
		t.Errorf("losers of a: %+v", got)
	}
}

// Guards against jobs that are taken from a living owner, and against jobs of an
// owner that is gone which nobody takes.
func TestOrphans(t *testing.T) {
	s := &script{t: t}
	s.accept("open", 1, "a")
	s.accept("ended", 1, "a")
	s.progress("ended", 1, "a", Completed)
	s.accept("other", 1, "b")
	s.add(AliveRecord("a", Alive{Node: "node-1"}))
	table := s.read()
	later := start.Add(time.Minute)
	r, err := AliveRecord("b", Alive{Node: "node-2"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Apply(later, 100, r); err != nil {
		t.Fatal(err)
	}
	silent := table.Orphans(later, "node-9", "c")
	if len(silent) != 1 || silent[0].Owner != "a" || !slices.Equal(silent[0].Jobs, []batch.ID{"open"}) {
		t.Errorf("silent: %+v", silent)
	}
	if same := table.Orphans(start, "node-2", "c"); len(same) != 1 || same[0].Owner != "b" {
		t.Errorf("of the same instance: %+v", same)
	}
	if own := table.Orphans(later, "node-1", "a"); len(own) != 0 {
		t.Errorf("own jobs: %+v", own)
	}
}

// Guards against records that stay for good after their job has ended.
func TestExpiredJobsLeaveNothing(t *testing.T) {
	s := &script{t: t}
	s.accept("j", 1, "a")
	s.accept("j", 2, "b")
	s.add(CancelRecord("j"))
	s.progress("j", 2, "b", Cancelled)
	s.accept("open", 1, "a")
	table := s.read()
	drop := table.Expired(start.Add(time.Second))
	for offset, r := range drop {
		if _, err := table.Apply(start, uint64(1000+offset), r); err != nil {
			t.Fatal(err)
		}
	}
	if _, known := table.Job("j"); known || len(table.jobs) != 1 {
		t.Errorf("left: %v", table.jobs)
	}
	if _, known := table.Job("open"); !known {
		t.Error("an open job has expired")
	}
}

// Guards against a reader that stops at a record of another writer, or takes it
// for a job.
func TestForeignRecords(t *testing.T) {
	table := NewTable()
	for _, r := range []Record{{Key: "x"}, {Key: "j/a/notanumber/b", Value: []byte{1}}, {Key: "", Value: []byte("?")}} {
		if _, err := table.Apply(start, 0, r); !errors.Is(err, ErrForeign) {
			t.Errorf("%q: %v", r.Key, err)
		}
	}
	if _, err := table.Apply(start, 0, Record{Key: claimKey(kindAccept, "j", 1, "a"), Value: []byte{0xff}}); err == nil {
		t.Error("an unreadable job is accepted")
	}
	if _, known := table.Job("j"); known {
		t.Error("an unreadable job is known")
	}
}
