package claims

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
)

const (
	// AppendBudget is the appends per second of all entries together. The log
	// takes several hundred; the rest is left to the other streams.
	AppendBudget = 300
	// ClockMargin covers a client's clock ahead of the entry's by
	// job.MaxClockSkew, and clocks of entries that differ by up to 30 s each
	// from the clock of the log.
	ClockMargin = job.MaxClockSkew + time.Minute

	// minCompaction keeps short queues from being compacted at every call.
	minCompaction = 64
	minBackoff    = 10 * time.Millisecond
	// maxBackoff bounds how long claims wait after the log is back.
	maxBackoff = time.Second
)

// Claim is a submission that waits for its key.
type Claim struct {
	Pair
	// SubmittedAt is the time of first submission by the client's clock.
	SubmittedAt time.Time
}

// Verdict says what a decision means for the waiting submission.
type Verdict uint8

// Values of Verdict.
const (
	// Won means that this incarnation owns the key and may run the submission,
	// once: a later submission of the same key is given the same verdict.
	Won Verdict = iota + 1
	// Lost means that another incarnation owns the key.
	Lost
	// Conflict means that the key is owned with the digest of another body.
	Conflict
	// Undecided means that the owner can no longer be found out in time. The
	// submission must not be run.
	Undecided
)

// Decision is the end of the wait of one claim.
type Decision struct {
	Key     job.KeyHash
	Verdict Verdict
	// Owner is the owner of the key, or 0 if the verdict is Undecided.
	Owner wire.Incarnation
}

// Batch is one record to append.
type Batch struct {
	Nonce uint64
	Data  []byte
	Size  int
}

// Committer batches the claims of one entry incarnation and decides them.
//
// Order of calls: Add for every keyed submission; Next whenever the log may be
// appended to; after Next has returned a batch, exactly one Appended for it,
// and no Next gives another batch before. Records for every page read from
// offset Table.Next on, in order. Withdraw before a waiting submission is
// refused: no decision on its claim is returned afterwards. An entry calls
// Records until it has read to the end of the stream before its first Add.
// Times passed to it do not decrease.
type Committer struct {
	self     wire.Incarnation
	table    *Table
	window   time.Duration
	interval time.Duration
	backoff  time.Duration
	allowed  time.Time

	waiting map[job.KeyHash]*waiter
	queue   []*waiter
	flight  *flight
	// lost holds the batches whose response was lost, until the end of the
	// stream has been read.
	lost []*flight
	// ahead holds own records, at consecutive offsets from Table.Next on, that
	// are known to be in the stream but have not been read.
	ahead []*flight
	// unread maps the keys claimed in ahead to their first digest there.
	unread map[job.KeyHash]job.Digest
}

type waiter struct {
	claim Claim
}

type flight struct {
	nonce   uint64
	pairs   []Pair
	waiters []*waiter
	// seen means that the record was read from the stream.
	seen bool
}

// NewCommitter returns a committer for an entry incarnation. The table must
// have been created with the same window, and only the committer may apply
// records to it.
func NewCommitter(self wire.Incarnation, table *Table, window time.Duration) *Committer {
	c := &Committer{self: self, table: table, window: window,
		waiting: make(map[job.KeyHash]*waiter), unread: make(map[job.KeyHash]job.Digest)}
	c.SetEntries(1)
	return c
}

// SetEntries sets the number of entries that share the append budget.
func (c *Committer) SetEntries(entries int) {
	c.interval = time.Second * time.Duration(max(entries, 1)) / AppendBudget
}

// Waiting returns the number of claims without a decision.
func (c *Committer) Waiting() int { return len(c.waiting) }

// Add queues a claim. It reports true, with the decision, if none is needed
// because the owner of the key is known. A claim whose key is waiting already
// joins that claim and gets no decision of its own.
func (c *Committer) Add(now time.Time, claim Claim) (Decision, bool) {
	if earlier, ok := c.waiting[claim.Key]; ok {
		if earlier.claim.Digest != claim.Digest {
			return Decision{claim.Key, Conflict, c.self}, true
		}
		return Decision{}, false
	}
	if c.expired(now, claim) {
		return Decision{Key: claim.Key, Verdict: Undecided}, true
	}
	if owner, ok := c.known(claim.Key); ok && (owner.Until.IsZero() || now.Before(owner.Until)) {
		return c.decide(now, claim, owner), true
	}
	w := &waiter{claim}
	c.waiting[claim.Key] = w
	c.queue = append(c.queue, w)
	return Decision{}, false
}

// Withdraw gives up the wait for a key. It reports false if no claim waits for
// it. The claim may still come into effect, in which case this incarnation owns
// the key and runs a submission that is added afterwards.
func (c *Committer) Withdraw(key job.KeyHash) bool {
	_, ok := c.waiting[key]
	delete(c.waiting, key)
	if len(c.queue) > 2*len(c.waiting)+minCompaction {
		c.queue = slices.DeleteFunc(c.queue, func(w *waiter) bool { return !c.waits(w) })
	}
	return ok
}

// Next returns the batch to append now. It reports false if there is nothing to
// claim, a batch is in flight, the append budget is used up, or the end of the
// stream must be read first.
func (c *Committer) Next(now time.Time, random *rand.Rand) (Batch, bool) {
	if c.flight != nil || len(c.lost) > 0 || now.Before(c.allowed) {
		return Batch{}, false
	}
	f := &flight{nonce: random.Uint64()}
	taken := 0
	for ; taken < len(c.queue) && len(f.pairs) < MaxBatch; taken++ {
		if w := c.queue[taken]; c.waits(w) {
			f.waiters = append(f.waiters, w)
			f.pairs = append(f.pairs, w.claim.Pair)
		}
	}
	c.queue = c.queue[taken:]
	if len(f.pairs) == 0 {
		return Batch{}, false
	}
	data, err := EncodeRecord(Record{Entry: c.self, Nonce: f.nonce, Pairs: f.pairs})
	if err != nil {
		panic(err) // a record of fixed-size fields always has an encoding
	}
	c.flight = f
	c.allowed = now.Add(c.interval)
	return Batch{Nonce: f.nonce, Data: data, Size: len(f.pairs)}, true
}

// NextAllowed returns the earliest time at which Next may return a batch.
func (c *Committer) NextAllowed() time.Time { return c.allowed }

// MustRead reports whether claims are held back until the end of the stream
// has been read. The caller then reads without waiting for new records.
func (c *Committer) MustRead() bool { return len(c.lost) > 0 }

// Appended reports the result of the append of a batch, with the error of
// logclient.Client.Append. If no record came between, the claims of keys that
// nobody has claimed are decided without reading.
func (c *Committer) Appended(now time.Time, nonce, offset uint64, err error) []Decision {
	f := c.flight
	if f == nil || f.nonce != nonce {
		return nil
	}
	c.flight = nil
	if err == nil {
		c.backoff = 0
	} else {
		c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
		c.allowed = now.Add(max(c.backoff, c.interval))
	}
	switch {
	case f.seen:
		return nil
	case err == nil:
		return c.decideAppended(now, f, offset)
	case errors.Is(err, logclient.ErrNotAppended):
		c.requeue(f)
	default:
		c.lost = append(c.lost, f)
	}
	return nil
}

// Records applies a page read from offset Table.Next on and returns the
// decisions that follow from it. The error is marked ErrOrder, in which case
// the rest of the page was not applied, or ErrRecord, in which case only the
// faulty records were skipped.
func (c *Committer) Records(now time.Time, page logclient.Page) (decisions []Decision, err error) {
	if page.First > c.table.Next() {
		decisions = c.skip(now, page)
	}
	for _, r := range page.Records {
		if r.Offset < c.table.Next() {
			continue
		}
		record, applyErr := c.table.Apply(r.Offset, r.Time, r.Data)
		if applyErr != nil {
			err = applyErr
		}
		if errors.Is(applyErr, ErrOrder) {
			return decisions, err
		}
		c.passAhead()
		c.markSeen(record)
		decisions = append(decisions, c.decideRecord(now, record)...)
	}
	if c.table.Next() >= page.Next {
		c.resolveLost()
	}
	return decisions, err
}

// skip passes a trimmed gap. The record of a waiting claim may have been in it,
// but then the record was older than the retention time and the claim has
// expired.
func (c *Committer) skip(now time.Time, page logclient.Page) (decisions []Decision) {
	for range min(page.First-c.table.Next(), uint64(len(c.ahead))) {
		c.passAhead()
	}
	c.table.Gap(page.First, page.Next)
	for key, w := range c.waiting {
		if c.expired(now, w.claim) {
			delete(c.waiting, key)
			decisions = append(decisions, Decision{Key: key, Verdict: Undecided})
		}
	}
	slices.SortFunc(decisions, func(a, b Decision) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return decisions
}

func (c *Committer) passAhead() {
	if len(c.ahead) == 0 {
		return
	}
	for _, pair := range c.ahead[0].pairs {
		delete(c.unread, pair.Key)
	}
	c.ahead = c.ahead[1:]
}

func (c *Committer) markSeen(record Record) {
	if record.Entry != c.self {
		return
	}
	if c.flight != nil && c.flight.nonce == record.Nonce {
		c.flight.seen = true
	}
	for _, f := range c.lost {
		f.seen = f.seen || f.nonce == record.Nonce
	}
}

// resolveLost is called at the end of the stream. A lost batch that is not
// there may still appear. Its claims are appended again all the same: whichever
// record comes first, this incarnation owns the keys.
func (c *Committer) resolveLost() {
	for _, f := range c.lost {
		if !f.seen {
			c.requeue(f)
		}
	}
	c.lost = nil
}

func (c *Committer) requeue(f *flight) {
	c.queue = append(f.waiters, c.queue...)
}

// decideAppended decides what the offset alone proves. The log time of the
// record is unknown until it is read, so a key with an earlier owner, who may
// have expired, is left to Records.
func (c *Committer) decideAppended(now time.Time, f *flight, offset uint64) (decisions []Decision) {
	if offset != c.table.Next()+uint64(len(c.ahead)) || offset < c.table.horizon {
		return nil
	}
	for _, pair := range f.pairs {
		if _, taken := c.known(pair.Key); taken {
			continue
		}
		c.unread[pair.Key] = pair.Digest
		if w, waiting := c.waiting[pair.Key]; waiting {
			decisions = append(decisions, c.settle(now, w, Owner{Entry: c.self, Digest: pair.Digest}))
		}
	}
	c.ahead = append(c.ahead, f)
	return decisions
}

func (c *Committer) decideRecord(now time.Time, record Record) (decisions []Decision) {
	for _, pair := range record.Pairs {
		w, waiting := c.waiting[pair.Key]
		owner, taken := c.table.Owner(pair.Key)
		if waiting && taken {
			decisions = append(decisions, c.settle(now, w, owner))
		}
	}
	return decisions
}

func (c *Committer) settle(now time.Time, w *waiter, owner Owner) Decision {
	delete(c.waiting, w.claim.Key)
	return c.decide(now, w.claim, owner)
}

func (c *Committer) decide(now time.Time, claim Claim, owner Owner) Decision {
	switch {
	case c.expired(now, claim):
		return Decision{Key: claim.Key, Verdict: Undecided}
	case owner.Doubtful && (owner.Entry == c.self || owner.Digest != claim.Digest):
		return Decision{Key: claim.Key, Verdict: Undecided}
	case owner.Digest != claim.Digest:
		return Decision{claim.Key, Conflict, owner.Entry}
	case owner.Entry != c.self:
		return Decision{claim.Key, Lost, owner.Entry}
	}
	return Decision{claim.Key, Won, c.self}
}

// expired reports whether the claim is so old that readers may already have
// dropped the first claim of its key, which is at least as old as SubmittedAt
// less ClockMargin.
func (c *Committer) expired(now time.Time, claim Claim) bool {
	return now.After(claim.SubmittedAt.Add(2*c.window - ClockMargin))
}

// known returns the owner of a key by the table or by an own record that has
// not been read. The latter has no Until.
func (c *Committer) known(key job.KeyHash) (Owner, bool) {
	if owner, ok := c.table.Owner(key); ok {
		return owner, true
	}
	if digest, ok := c.unread[key]; ok {
		return Owner{Entry: c.self, Digest: digest}, true
	}
	return Owner{}, false
}

func (c *Committer) waits(w *waiter) bool { return c.waiting[w.claim.Key] == w }
