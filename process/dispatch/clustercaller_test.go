package dispatch_test

import (
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/request/batch"
)

// caller submits a job, and submits it again when its entry has ended, or has given up
// while the caller still waits.
type caller struct {
	c           *cluster
	submission  batch.Submission
	entry       *entryNode
	incarnation wire.Incarnation
	startedAt   time.Time
	took        time.Duration
	result      *dispatch.Result
	results     int
	// attempt numbers the submissions; results of all but the last are ignored.
	attempt int
}

func (c *cluster) call(s batch.Submission, entry int) *caller {
	k := &caller{c: c, submission: s, startedAt: c.now}
	k.send(entry)
	return k
}

func (k *caller) send(entry int) {
	e := k.c.entries[entry%len(k.c.entries)]
	if !e.alive {
		k.c.after(resendAfter, func() { k.send(entry + 1) })
		return
	}
	if e.frozen {
		k.c.after(100*time.Millisecond, func() { k.send(entry) })
		return
	}
	k.entry, k.incarnation = e, e.id
	k.attempt++
	attempt := k.attempt
	s := k.submission
	if k.c.now.Sub(k.startedAt) >= resendAfter {
		s.PriorWait = resendAfter
		s.CallerTimeout -= k.c.now.Sub(k.startedAt)
	}
	e.core.Submit(s, func(r dispatch.Result) {
		if attempt != k.attempt {
			return
		}
		if r.Code == dispatch.GaveUp && k.c.now.Sub(k.startedAt) < k.submission.CallerTimeout {
			k.attempt++
			k.c.after(resendAfter, func() { k.send(entry + 1) })
			return
		}
		k.results++
		k.result, k.took = &r, k.c.now.Sub(k.startedAt)
	})
	k.watch(entry, attempt)
}

// watch submits the job again once the entry process that accepted it has ended.
func (k *caller) watch(entry, attempt int) {
	k.c.after(50*time.Millisecond, func() {
		switch {
		case k.result != nil || attempt != k.attempt:
		case !k.entry.alive || k.entry.id != k.incarnation:
			k.attempt++
			k.c.after(resendAfter-50*time.Millisecond, func() { k.send(entry + 1) })
		default:
			k.watch(entry, attempt)
		}
	})
}
