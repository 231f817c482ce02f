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
	// AppendsPerSecond is the append rate of all entries together. The log
	// takes several hundred appends per second; the rest is left to the other
	// streams.
	AppendsPerSecond = 300
	// ClockMargin is the largest difference between clocks that is allowed for:
	// a client's clock may be ahead of the entry's by job.MaxClockSkew, and the
	// clocks of entries may differ from the clock of the log by up to 30 s
	// each.
	ClockMargin = job.MaxClockSkew + time.Minute

	// minCompaction is the number of withdrawn claims that the queue may always
	// hold, so that a short queue is not compacted at every call of Withdraw.
	minCompaction = 64
	minBackoff    = 10 * time.Millisecond
	// maxBackoff bounds how long claims wait after the log is available again.
	maxBackoff = time.Second
)

// Claim is a submission that asks for the ownership of its key.
type Claim struct {
	Pair
	// SubmittedAt is the time of the first submission by the clock of the
	// client.
	SubmittedAt time.Time
}

// ClaimResult is the result of a claim for its submission.
type ClaimResult uint8

// Values of ClaimResult.
const (
	// Won means that this incarnation owns the key and may run the submission,
	// once: a later submission with the same key gets the same result.
	Won ClaimResult = iota + 1
	// Lost means that another incarnation owns the key.
	Lost
	// Conflict means that the key is owned by a submission with another body.
	Conflict
	// Undecided means that the owner cannot be determined reliably, because the
	// claim is too old or trimmed records may hold an earlier claim. The
	// submission must not be run.
	Undecided
)

// Decision is the result of one claim.
type Decision struct {
	Key    job.KeyHash
	Result ClaimResult
	// Owner is the owner of the key, or 0 if the result is Undecided.
	Owner wire.Incarnation
}

// Batch is one record to append to the log.
type Batch struct {
	// Nonce identifies the batch in the call of HandleAppendResult.
	Nonce uint64
	Data  []byte
	// Size is the number of claims in the record.
	Size int
}

// Committer batches the claims of one entry incarnation and decides them.
//
// Call Add for every submission with a key, and NextBatch whenever the log may
// be appended to. After NextBatch has returned a batch, call HandleAppendResult
// exactly once for it; NextBatch returns no other batch before. Call ApplyPage
// for every page read, in order, starting at offset Table.NextOffset. Call
// Withdraw before a waiting submission is refused: no decision on its claim is
// returned afterwards. An entry calls ApplyPage until it has read to the end of
// the stream before its first Add. The times passed to a Committer must not
// decrease.
type Committer struct {
	self           wire.Incarnation
	table          *Table
	dedupeWindow   time.Duration
	appendInterval time.Duration
	backoff        time.Duration
	// nextAppendAt is the earliest time of the next append.
	nextAppendAt time.Time

	// waiting holds the claims without a decision.
	waiting map[job.KeyHash]*waitingClaim
	// queue holds the claims to append, and withdrawn ones until NextBatch or
	// Withdraw removes them.
	queue []*waitingClaim
	// inFlight is the batch that NextBatch returned and for which
	// HandleAppendResult has not been called.
	inFlight *pendingAppend
	// unconfirmed holds the batches whose append has an unknown result because
	// the response was lost, until the end of the stream has been read.
	unconfirmed []*pendingAppend
	// unreadAppends holds the batches of this incarnation that are known to be
	// in the stream but have not been read. Their offsets are consecutive from
	// Table.NextOffset on.
	unreadAppends []*pendingAppend
	// unreadDigests maps the keys claimed in unreadAppends to the first digest
	// claimed there.
	unreadDigests map[job.KeyHash]job.Digest
}

// waitingClaim is a claim without a decision. Its pointer distinguishes it from
// a later claim of the same key.
type waitingClaim struct {
	claim Claim
}

// pendingAppend is a batch whose record is being appended or has not been read
// yet.
type pendingAppend struct {
	nonce  uint64
	pairs  []Pair
	claims []*waitingClaim
	// recordRead means that the record was read from the stream.
	recordRead bool
}

// NewCommitter returns a committer for an entry incarnation. window is the
// dedupe window, with which the table must have been created too. Only the
// committer may apply records to the table.
func NewCommitter(self wire.Incarnation, table *Table, window time.Duration) *Committer {
	c := &Committer{self: self, table: table, dedupeWindow: window,
		waiting: make(map[job.KeyHash]*waitingClaim), unreadDigests: make(map[job.KeyHash]job.Digest)}
	c.SetEntries(1)
	return c
}

// SetEntries sets the number of entries that share AppendsPerSecond.
func (c *Committer) SetEntries(entries int) {
	c.appendInterval = time.Second * time.Duration(max(entries, 1)) / AppendsPerSecond
}

// Waiting returns the number of claims without a decision.
func (c *Committer) Waiting() int { return len(c.waiting) }

// Add queues a claim. If the claim can be decided at once, because the owner of
// the key is known or the claim is too old, it returns the decision and true
// instead. A claim whose key is waiting already, with the same body, joins that
// claim and gets no decision of its own.
func (c *Committer) Add(now time.Time, claim Claim) (Decision, bool) {
	if earlier, ok := c.waiting[claim.Key]; ok {
		if earlier.claim.Digest != claim.Digest {
			return Decision{claim.Key, Conflict, c.self}, true
		}
		return Decision{}, false
	}
	if c.expired(now, claim) {
		return Decision{Key: claim.Key, Result: Undecided}, true
	}
	if owner, ok := c.knownOwner(claim.Key); ok && (owner.ExpiresAt.IsZero() || now.Before(owner.ExpiresAt)) {
		return c.decide(now, claim, owner), true
	}
	w := &waitingClaim{claim}
	c.waiting[claim.Key] = w
	c.queue = append(c.queue, w)
	return Decision{}, false
}

// Withdraw stops waiting for the decision on a key. It returns false if no
// claim of the key is waiting. The claim may still take effect in the log, in
// which case this incarnation owns the key and runs a submission that is added
// afterwards.
func (c *Committer) Withdraw(key job.KeyHash) bool {
	_, ok := c.waiting[key]
	delete(c.waiting, key)
	if len(c.queue) > 2*len(c.waiting)+minCompaction {
		c.queue = slices.DeleteFunc(c.queue, func(w *waitingClaim) bool { return !c.isWaiting(w) })
	}
	return ok
}

// NextBatch returns the batch to append now. It returns false if no claim is
// queued, a batch is in flight, the append rate is reached, or the end of the
// stream must be read first.
func (c *Committer) NextBatch(now time.Time, random *rand.Rand) (Batch, bool) {
	if c.inFlight != nil || len(c.unconfirmed) > 0 || now.Before(c.nextAppendAt) {
		return Batch{}, false
	}
	f := &pendingAppend{nonce: random.Uint64()}
	taken := 0
	for ; taken < len(c.queue) && len(f.pairs) < MaxPairsPerRecord; taken++ {
		if w := c.queue[taken]; c.isWaiting(w) {
			f.claims = append(f.claims, w)
			f.pairs = append(f.pairs, w.claim.Pair)
		}
	}
	c.queue = c.queue[taken:]
	if len(f.pairs) == 0 {
		return Batch{}, false
	}
	data, err := EncodeRecord(Record{Entry: c.self, Nonce: f.nonce, Pairs: f.pairs})
	if err != nil {
		panic(err) // cannot happen: a record always has an encoding
	}
	c.inFlight = f
	c.nextAppendAt = now.Add(c.appendInterval)
	return Batch{Nonce: f.nonce, Data: data, Size: len(f.pairs)}, true
}

// NextAppendAt returns the earliest time at which NextBatch may return a batch.
func (c *Committer) NextAppendAt() time.Time { return c.nextAppendAt }

// ReadRequired reports whether NextBatch returns no batch until the end of the
// stream has been read. The caller then reads without waiting for new records.
func (c *Committer) ReadRequired() bool { return len(c.unconfirmed) > 0 }

// HandleAppendResult handles the result of the append of a batch, with the error
// of logclient.Client.Append. If the record directly follows the last known
// record of the stream, the claims of keys without a known owner are decided
// without reading it.
func (c *Committer) HandleAppendResult(now time.Time, nonce, offset uint64, err error) []Decision {
	f := c.inFlight
	if f == nil || f.nonce != nonce {
		return nil
	}
	c.inFlight = nil
	if err == nil {
		c.backoff = 0
	} else {
		c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
		c.nextAppendAt = now.Add(max(c.backoff, c.appendInterval))
	}
	switch {
	case f.recordRead:
		return nil
	case err == nil:
		return c.decideAppended(now, f, offset)
	case errors.Is(err, logclient.ErrNotAppended):
		c.requeue(f)
	default:
		c.unconfirmed = append(c.unconfirmed, f)
	}
	return nil
}

// ApplyPage applies a page read from offset Table.NextOffset on and returns the
// decisions that follow from it. The error is marked ErrOutOfOrder if the rest
// of the page was not applied, or ErrInvalidRecord if only the invalid records
// were skipped.
func (c *Committer) ApplyPage(now time.Time, page logclient.Page) (decisions []Decision, err error) {
	if page.First > c.table.NextOffset() {
		decisions = c.skipTrimmed(now, page)
	}
	for _, r := range page.Records {
		if r.Offset < c.table.NextOffset() {
			continue
		}
		record, applyErr := c.table.Apply(r.Offset, r.Time, r.Data)
		if applyErr != nil {
			err = applyErr
		}
		if errors.Is(applyErr, ErrOutOfOrder) {
			return decisions, err
		}
		c.dropFirstUnreadAppend()
		c.markRead(record)
		decisions = append(decisions, c.decideRecord(now, record)...)
	}
	if c.table.NextOffset() >= page.Next {
		c.resolveUnconfirmed()
	}
	return decisions, err
}

// skipTrimmed moves past trimmed records. If the record of a waiting claim was
// among them, it was older than the retention time of the log, so the claim has
// expired and is undecided.
func (c *Committer) skipTrimmed(now time.Time, page logclient.Page) (decisions []Decision) {
	for range min(page.First-c.table.NextOffset(), uint64(len(c.unreadAppends))) {
		c.dropFirstUnreadAppend()
	}
	c.table.SkipTrimmed(page.First, page.Next)
	for key, w := range c.waiting {
		if c.expired(now, w.claim) {
			delete(c.waiting, key)
			decisions = append(decisions, Decision{Key: key, Result: Undecided})
		}
	}
	slices.SortFunc(decisions, func(a, b Decision) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return decisions
}

// dropFirstUnreadAppend removes the first of unreadAppends, whose offset has
// been read or trimmed.
func (c *Committer) dropFirstUnreadAppend() {
	if len(c.unreadAppends) == 0 {
		return
	}
	for _, pair := range c.unreadAppends[0].pairs {
		delete(c.unreadDigests, pair.Key)
	}
	c.unreadAppends = c.unreadAppends[1:]
}

// markRead marks the batch of this incarnation whose record was read while its
// append was in flight or unconfirmed.
func (c *Committer) markRead(record Record) {
	if record.Entry != c.self {
		return
	}
	if c.inFlight != nil && c.inFlight.nonce == record.Nonce {
		c.inFlight.recordRead = true
	}
	for _, f := range c.unconfirmed {
		f.recordRead = f.recordRead || f.nonce == record.Nonce
	}
}

// resolveUnconfirmed is called at the end of the stream. It queues the claims
// of those unconfirmed batches that were not read. Such a batch may still
// appear in the stream later; whichever record of the claims comes first, this
// incarnation owns the keys.
func (c *Committer) resolveUnconfirmed() {
	for _, f := range c.unconfirmed {
		if !f.recordRead {
			c.requeue(f)
		}
	}
	c.unconfirmed = nil
}

// requeue puts the claims of a batch at the front of the queue.
func (c *Committer) requeue(f *pendingAppend) {
	c.queue = append(f.claims, c.queue...)
}

// decideAppended decides the claims for which the offset of their record is
// sufficient. The log time of the record is unknown until it is read, so a key
// with an earlier owner, which may have expired by then, is left
// to ApplyPage.
func (c *Committer) decideAppended(now time.Time, f *pendingAppend, offset uint64) (decisions []Decision) {
	if offset != c.table.NextOffset()+uint64(len(c.unreadAppends)) || offset < c.table.uncertainBefore {
		return nil
	}
	for _, pair := range f.pairs {
		if _, taken := c.knownOwner(pair.Key); taken {
			continue
		}
		c.unreadDigests[pair.Key] = pair.Digest
		if w, waiting := c.waiting[pair.Key]; waiting {
			decisions = append(decisions, c.decideWaiting(now, w, Owner{Entry: c.self, Digest: pair.Digest}))
		}
	}
	c.unreadAppends = append(c.unreadAppends, f)
	return decisions
}

// decideRecord decides the waiting claims of the keys in a record that has been
// applied.
func (c *Committer) decideRecord(now time.Time, record Record) (decisions []Decision) {
	for _, pair := range record.Pairs {
		w, waiting := c.waiting[pair.Key]
		owner, taken := c.table.Owner(pair.Key)
		if waiting && taken {
			decisions = append(decisions, c.decideWaiting(now, w, owner))
		}
	}
	return decisions
}

func (c *Committer) decideWaiting(now time.Time, w *waitingClaim, owner Owner) Decision {
	delete(c.waiting, w.claim.Key)
	return c.decide(now, w.claim, owner)
}

// decide returns the decision on a claim whose key has an owner.
func (c *Committer) decide(now time.Time, claim Claim, owner Owner) Decision {
	switch {
	case c.expired(now, claim):
		return Decision{Key: claim.Key, Result: Undecided}
	case owner.Uncertain && (owner.Entry == c.self || owner.Digest != claim.Digest):
		return Decision{Key: claim.Key, Result: Undecided}
	case owner.Digest != claim.Digest:
		return Decision{claim.Key, Conflict, owner.Entry}
	case owner.Entry != c.self:
		return Decision{claim.Key, Lost, owner.Entry}
	}
	return Decision{claim.Key, Won, c.self}
}

// expired reports whether the claim is so old that readers of the log may have
// dropped the first claim of its key already. That claim is at most ClockMargin
// older than SubmittedAt.
func (c *Committer) expired(now time.Time, claim Claim) bool {
	return now.After(claim.SubmittedAt.Add(2*c.dedupeWindow - ClockMargin))
}

// knownOwner returns the owner of a key by the table or by an unread record of
// this incarnation. In the second case ExpiresAt is zero.
func (c *Committer) knownOwner(key job.KeyHash) (Owner, bool) {
	if owner, ok := c.table.Owner(key); ok {
		return owner, true
	}
	if digest, ok := c.unreadDigests[key]; ok {
		return Owner{Entry: c.self, Digest: digest}, true
	}
	return Owner{}, false
}

// isWaiting reports whether the claim has neither been decided nor withdrawn.
func (c *Committer) isWaiting(w *waitingClaim) bool { return c.waiting[w.claim.Key] == w }
