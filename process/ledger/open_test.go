package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/azurerouter/azurerouter/request/batch"
)

// openJobsByView returns the open jobs of an owner according to the state of each job.
func (t *Table) openJobsByView(name Owner) []batch.ID {
	var open []batch.ID
	for id, j := range t.jobs {
		c := j.currentClaim()
		if c != nil && c.owner == name && !c.hasEnded() {
			open = append(open, id)
		}
	}
	slices.Sort(open)
	return open
}

// equalClaims reports whether two claims of a job precede all others equally. Random records
// may end a job twice in one term, which no owners do.
func equalClaims(a, b *claimState) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.term == b.term && a.rank() == b.rank()
}

// randomRecord returns a record of one of a few jobs, terms and owners, or its deletion.
func randomRecord(t *testing.T, random *rand.Rand, owners []Owner) Record {
	id, term, owner := batch.ID(fmt.Sprint("job-", random.IntN(4))), uint64(1+random.IntN(3)), owners[random.IntN(len(owners))]
	builder := &logBuilder{t: t}
	switch random.IntN(4) {
	case 0:
		builder.accept(id, term, owner)
	case 1:
		builder.progress(id, term, owner, []State{Open, Completed}[random.IntN(2)], TaskProgress{Done: true})
	case 2:
		builder.add(CancelRecord(id))
	default:
		builder.accept(id, term, owner)
		builder.records[0].Value = nil
		if random.IntN(2) == 0 {
			builder.records[0].Key = claimKey(kindProgress, id, term, owner)
		}
	}
	return builder.records[0]
}

// Guards against an owner that keeps or lacks open jobs, which are noted record by record:
// the jobs of a dead owner would not be taken over.
func TestOpenJobsFollowTheCurrentClaims(t *testing.T) {
	random := rand.New(rand.NewPCG(32, 1))
	owners := []Owner{"a", "b", "c"}
	seen := 0
	for range 300 {
		table := NewTable()
		for offset := range 60 {
			if _, err := table.Apply(readTime, uint64(offset), randomRecord(t, random, owners)); err != nil {
				t.Fatal(err)
			}
			for _, owner := range owners {
				got, want := table.OpenJobs(owner), table.openJobsByView(owner)
				if !slices.Equal(got, want) {
					t.Fatalf("open jobs of %s after record %d: %v, want %v", owner, offset, got, want)
				}
				seen += len(got)
			}
			for id, j := range table.jobs {
				if !equalClaims(j.current, j.currentClaim()) {
					t.Fatalf("job %s does not have its current claim after record %d", id, offset)
				}
			}
		}
	}
	if seen == 0 {
		t.Error("no job was open")
	}
}

// Guards against jobs that count as waiting though one of their tasks has begun or ended,
// and against those of other owners that do not count.
func TestWaitingJobsOfAllOwners(t *testing.T) {
	builder := &logBuilder{t: t}
	builder.accept("of-other", 1, "b")
	builder.accept("ended-task", 1, "b")
	builder.progress("ended-task", 1, "b", Open, TaskProgress{Done: true})
	builder.accept("taken-over", 2, "b", TaskProgress{Done: true})
	builder.accept("own", 1, "a")
	builder.accept("own-begun", 1, "a")
	builder.accept("own-ended", 1, "a")
	builder.progress("own-ended", 1, "a", Completed)
	table := builder.applyAll()
	begun := func(id batch.ID) bool { return id == "own-begun" }
	if waiting := table.Waiting("card", "q", "a", begun); waiting != 2 {
		t.Errorf("%d jobs wait, want 2", waiting)
	}
	if waiting := table.Waiting("card", "other", "a", begun); waiting != 0 {
		t.Errorf("%d jobs wait in another queue, want none", waiting)
	}
}
