package keeper

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/azurerouter/azurerouter/process/decision"
	"github.com/azurerouter/azurerouter/process/ledger"
	"github.com/azurerouter/azurerouter/request/batch"
)

const (
	// commitInterval is the shortest time between two appends, so that what
	// several entries write stays within the rate that they share.
	commitInterval = 15 * time.Millisecond
	// minAppendPause is that between the first two tries of one append; it
	// doubles, since refused calls count against the rate that all share.
	minAppendPause = 50 * time.Millisecond
	maxAppendPause = 400 * time.Millisecond
	// The first try of an append waits for timeoutFactor times the usual answer
	// time, since answers get lost; the time doubles with each further try.
	timeoutFactor    = 4
	minAppendTimeout = 40 * time.Millisecond
	maxAppendTimeout = 800 * time.Millisecond
	// answerWeight is that of a new answer time in the usual one.
	answerWeight = 0.2
	// batchBytes bounds one append.
	batchBytes = 1 << 20
	firstEpoch = 1
	// awayAfter is how many appends in a row without an answer make the log count
	// as away.
	awayAfter = 3
)

// commit is one append and what it covers.
type commit struct {
	items    []item
	progress []stored
	records  []ledger.Record
	owner    ledger.Owner
}

// stored is the progress of one job in a commit.
type stored struct {
	id    batch.ID
	ends  int
	final bool
}

// write appends what waits, one batch at a time, until the context ends.
func (k *Keeper) write(ctx context.Context) {
	var sequence uint64
	var owner ledger.Owner
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-time.After(aliveInterval / 2):
		}
		c := k.nextCommit()
		if c.owner != owner {
			owner, sequence = c.owner, 0
		}
		if len(c.records) > 0 && k.commit(ctx, &c, sequence) {
			sequence++
		}
		select {
		case <-ctx.Done():
		case <-time.After(commitInterval):
		}
	}
}

// nextCommit collects the records that wait.
func (k *Keeper) nextCommit() commit {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := commit{owner: k.self}
	size := 0
	add := func(r ledger.Record) {
		c.records = append(c.records, r)
		size += len(r.Key) + len(r.Value)
	}
	for len(k.queue) > 0 && size < batchBytes {
		c.items = append(c.items, k.queue[0])
		if id := k.queue[0].accepts; id != "" {
			k.onTheWay[id] = true
		}
		add(k.queue[0].record)
		k.queue = k.queue[1:]
	}
	k.changed.mu.Lock()
	dirty := slices.Sorted(maps.Keys(k.changed.dirty))
	clear(k.changed.dirty)
	finals := maps.Clone(k.changed.finals)
	k.changed.mu.Unlock()
	for _, id := range dirty {
		term, runs := k.mine[id]
		if !runs {
			continue
		}
		progress := ledger.Progress{State: ledger.Open}
		tasks, ends := k.run.DurableProgress(id)
		if final := finals[id]; final != "" {
			progress.State = final
		}
		for _, t := range tasks {
			progress.Tasks = append(progress.Tasks, ledger.TaskProgress(t))
		}
		r, err := ledger.ProgressRecord(id, term, k.self, progress)
		if err != nil {
			k.decided(id, "durable", "unwritten", err.Error(), term)
			continue
		}
		c.progress = append(c.progress, stored{id, ends, progress.State != ledger.Open})
		add(r)
	}
	// While the log is away the record asks whether it is back.
	if len(c.records) == 0 && (k.away || len(k.mine) > 0) && k.options.Now().Sub(k.written) > aliveInterval {
		r, err := ledger.AliveRecord(k.self, ledger.Alive{Node: k.options.Node})
		if err != nil {
			k.decided("", "durable", "unwritten", err.Error(), 0)
		} else {
			add(r)
		}
	}
	if len(k.queue) > 0 {
		k.signal()
	}
	return c
}

// commit appends a batch until the log has decided. It reports whether the batch
// used up its sequence number.
func (k *Keeper) commit(ctx context.Context, c *commit, sequence uint64) bool {
	timeout, pause, unanswered := k.appendTimeout(), minAppendPause, 0
	for ctx.Err() == nil {
		sent := k.options.Now()
		call, cancel := context.WithTimeout(ctx, timeout)
		answer := k.log.Append(call, Append{Writer: string(c.owner), Epoch: firstEpoch, Sequence: sequence, Records: c.records})
		cancel()
		wait := pause
		switch answer.Verdict {
		case Done:
			k.noteAnswerTime(k.options.Now().Sub(sent))
			k.committed(sent, c)
			return true
		case Unknown:
			// The repeat is answered as this one would have been. A connection
			// that fails at once is not tried again at once.
			wait = timeout - k.options.Now().Sub(sent)
			if unanswered++; unanswered >= awayAfter {
				k.setAway(true, answer.Err)
				k.refuseQueued()
			}
		case NotDone:
			k.setAway(true, answer.Err)
			k.refuseQueued()
			if unanswered > 0 {
				// An earlier try may still be carried out.
				break
			}
			k.withdrawAccepts(c)
			if len(c.records) == 0 {
				return false
			}
		case Fenced, OutOfSequence:
			if unanswered == 0 {
				k.withdrawAccepts(c)
			}
			k.deposed(answer)
			return false
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		timeout, pause = min(2*timeout, maxAppendTimeout), min(2*pause, maxAppendPause)
	}
	return false
}

// appendTimeout is only used by the writer, as is noteAnswerTime.
func (k *Keeper) appendTimeout() time.Duration {
	return min(max(timeoutFactor*k.answerTime, minAppendTimeout), maxAppendTimeout)
}

func (k *Keeper) noteAnswerTime(took time.Duration) {
	k.answerTime += time.Duration(answerWeight * float64(took-k.answerTime))
}

func (k *Keeper) setAway(away bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.away == away {
		return
	}
	k.away = away
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	outcome := "regained"
	if away {
		outcome = "lost"
	}
	k.decided("", "job_log", outcome, reason, k.next)
}

// committed tells those who wait for a batch.
func (k *Keeper) committed(sent time.Time, c *commit) {
	k.setAway(false, nil)
	k.mu.Lock()
	k.written = sent
	resume := k.suspended
	k.suspended = false
	for _, s := range c.progress {
		if s.final {
			delete(k.mine, s.id)
			k.settled[s.id] = true
			k.changed.mu.Lock()
			delete(k.changed.finals, s.id)
			k.changed.mu.Unlock()
		}
	}
	k.mu.Unlock()
	for _, i := range c.items {
		if i.done != nil {
			i.done <- Outcome{Code: Accepted}
		}
	}
	for _, s := range c.progress {
		k.run.DurableStored(s.id, s.ends)
		if s.final {
			k.run.ForgetDurable(s.id)
		}
	}
	if resume {
		k.run.SuspendDurable(false)
	}
}

// withdrawAccepts refuses the jobs of a batch that the log has not taken, so
// that their callers can try elsewhere. What else is in the batch is tried again.
func (k *Keeper) withdrawAccepts(c *commit) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var kept []item
	var records []ledger.Record
	for n, i := range c.items {
		switch {
		case i.accepts != "":
			delete(k.onTheWay, i.accepts)
			k.answerWaiters(i.accepts, refusedAway)
		case i.done != nil:
			i.done <- refusedAway
		default:
			kept = append(kept, i)
			records = append(records, c.records[n])
		}
	}
	c.records = append(records, c.records[len(c.items):]...)
	c.items = kept
}

// refuseQueued refuses the jobs that are not in the batch on its way, so that
// their callers can try elsewhere and they do not all start when the log is
// back.
func (k *Keeper) refuseQueued() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, i := range k.queue {
		if i.accepts != "" {
			k.answerWaiters(i.accepts, refusedAway)
		}
	}
	k.queue = slices.DeleteFunc(k.queue, func(i item) bool { return i.accepts != "" })
}

// deposed begins anew under another name after other entries have taken the
// jobs of this one.
func (k *Keeper) deposed(answer Appended) {
	// Their records carry the former name.
	k.refuseQueued()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.decided("", "durable", "deposed", string(answer.Verdict), 0, decision.Input{Name: "jobs", Value: int64(len(k.mine))})
	for id := range k.mine {
		k.run.ForgetDurable(id)
	}
	clear(k.mine)
	clear(k.settled)
	k.changed.mu.Lock()
	clear(k.changed.dirty)
	clear(k.changed.finals)
	k.changed.mu.Unlock()
	k.lives++
	k.self = ledger.Owner(fmt.Sprintf("%s.%d", k.options.Self, k.lives))
	k.suspended = false
	k.run.SuspendDurable(false)
}
