package dispatch

import (
	"time"

	"github.com/azurerouter/azurerouter/request/batch"
)

// recordedEndRetention is how long a recorded end is remembered. It is longer than
// agents keep an end that no entry settles.
const recordedEndRetention = 10 * time.Second

// recordedEnds remembers the runs of durable jobs whose ends this entry has recorded,
// for agents that have not received the confirmation. The zero value is empty.
type recordedEnds struct {
	recordedAt map[batch.Run]time.Time
	// order holds the keys of recordedAt, the oldest first.
	order []batch.Run
}

func (e *recordedEnds) add(now time.Time, run batch.Run) {
	for len(e.order) > 0 && now.Sub(e.recordedAt[e.order[0]]) > recordedEndRetention {
		delete(e.recordedAt, e.order[0])
		e.order = e.order[1:]
	}
	if e.contains(run) {
		return
	}
	if e.recordedAt == nil {
		e.recordedAt = make(map[batch.Run]time.Time)
	}
	e.recordedAt[run] = now
	e.order = append(e.order, run)
}

func (e *recordedEnds) contains(run batch.Run) bool {
	_, recorded := e.recordedAt[run]
	return recorded
}
