package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
)

// recentRuns remembers what is known of some runs for a time. The zero value is empty.
type recentRuns[V any] struct {
	values map[batch.Run]V
	// order holds the keys of values, the oldest first.
	order []notedRun
}

type notedRun struct {
	run     batch.Run
	notedAt time.Time
}

// add notes a value for a run, unless there is one, and forgets the values that are older
// than the retention.
func (r *recentRuns[V]) add(now time.Time, run batch.Run, value V, retention time.Duration) {
	for len(r.order) > 0 && now.Sub(r.order[0].notedAt) > retention {
		delete(r.values, r.order[0].run)
		r.order = r.order[1:]
	}
	if r.contains(run) {
		return
	}
	if r.values == nil {
		r.values = make(map[batch.Run]V)
	}
	r.values[run] = value
	r.order = append(r.order, notedRun{run, now})
}

func (r *recentRuns[V]) contains(run batch.Run) bool {
	_, known := r.values[run]
	return known
}

// ofJob returns the runs of a job, the one that was noted first at the front.
func (r *recentRuns[V]) ofJob(id batch.ID) []batch.Run {
	var runs []batch.Run
	for _, noted := range r.order {
		if noted.run.Task.Job == id {
			runs = append(runs, noted.run)
		}
	}
	return runs
}
