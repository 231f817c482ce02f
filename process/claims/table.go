// Package claims decides which entry owns a submission key. The log stream of
// claims is the only authority: the first claim of a key in log order wins. A
// Table holds the owners that follow from the records of that stream; a
// Committer batches the claims of one entry and decides them. Neither reads a
// clock or a random source of its own, and neither is safe for concurrent use.
package claims

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
)

// ErrOutOfOrder marks the error for a record that does not follow the last one
// applied.
var ErrOutOfOrder = errors.New("claim record out of order")

// Owner is the entry incarnation that owns a key, with the digest of the body
// it claimed the key for.
type Owner struct {
	Entry  wire.Incarnation
	Digest job.Digest
	// ExpiresAt is the log time after which the key can be claimed again.
	ExpiresAt time.Time
	// Uncertain means that a trimmed record may hold an earlier claim of the
	// key. Other entries may ask Entry about the submission, but Entry must not
	// run the submission as its owner.
	Uncertain bool
}

// Table holds the owner of every key claimed within twice the dedupe window, in
// log time. Readers that have applied the same records, with or without trimmed
// records before them, agree on every owner that is not uncertain.
type Table struct {
	// retention is how long an owner is kept, in log time.
	retention  time.Duration
	nextOffset uint64
	// logTime is the latest log time applied, in Unix nanoseconds.
	logTime int64
	// uncertainBefore is the offset below which new owners are uncertain.
	uncertainBefore uint64
	owners          map[job.KeyHash]compactOwner
	// uncertain holds the keys of uncertain owners. It is not a field of
	// compactOwner because it is nearly always empty.
	uncertain map[job.KeyHash]struct{}
	// expiries is in ascending order of time. A key whose uncertain owner was
	// extended is in several.
	expiries []expiry
}

// compactOwner is the form in which owners are stored: a table holds over a
// million of them at 1,000 claims per second. Times are log times in Unix
// nanoseconds.
type compactOwner struct {
	entry     wire.Incarnation
	digest    job.Digest
	expiresAt int64
}

// expiry lists the keys whose owner was set or extended by one record, with the
// log time at which they expire.
type expiry struct {
	at   int64
	keys []job.KeyHash
}

// NewTable returns a table to which no record has been applied. window is the
// dedupe window; the retention time of the log must be at least twice as long.
func NewTable(window time.Duration) *Table {
	return &Table{retention: 2 * window, nextOffset: 1, logTime: math.MinInt64,
		owners: make(map[job.KeyHash]compactOwner), uncertain: make(map[job.KeyHash]struct{})}
}

// NextOffset returns the offset that Apply expects.
func (t *Table) NextOffset() uint64 { return t.nextOffset }

// Len returns the number of keys held.
func (t *Table) Len() int { return len(t.owners) }

// Apply applies the record at an offset, appended at a log time. Records must
// be applied in the order of their offsets without gaps, except after
// SkipTrimmed. If the error is marked ErrOutOfOrder, the table is unchanged. If
// it is marked ErrInvalidRecord, the record was skipped, as it is by every
// other reader.
func (t *Table) Apply(offset uint64, at time.Time, data []byte) (Record, error) {
	if offset != t.nextOffset {
		return Record{}, errors.Mark(errors.Newf("apply claim record: offset %d, expected %d", offset, t.nextOffset), ErrOutOfOrder)
	}
	t.nextOffset++
	t.logTime = max(t.logTime, at.UnixNano())
	t.prune()
	record, err := DecodeRecord(data)
	if err != nil {
		return Record{}, err
	}
	end := expiry{at: t.logTime + int64(t.retention), keys: make([]job.KeyHash, 0, len(record.Pairs))}
	for _, pair := range record.Pairs {
		if t.claim(offset, record.Entry, pair, end.at) {
			end.keys = append(end.keys, pair.Key)
		}
	}
	if len(end.keys) > 0 {
		t.expiries = append(t.expiries, end)
	}
	return record, nil
}

// SkipTrimmed moves to offset first because the records before it have been
// trimmed. next is the offset of the next append, as read together with first.
//
// A trimmed record is older than the retention time of the log. Its claims have
// expired, and so have those applied before it. They cannot concern a record
// appended after the gap was read, at or after next, but may concern the
// retained ones before: an owner found there is uncertain.
func (t *Table) SkipTrimmed(first, next uint64) {
	if first <= t.nextOffset {
		return
	}
	t.nextOffset = first
	t.uncertainBefore = max(t.uncertainBefore, next)
	clear(t.owners)
	clear(t.uncertain)
	t.expiries = nil
}

// Owner returns the owner of a key. It returns false if the key has no owner
// according to the records applied so far.
func (t *Table) Owner(key job.KeyHash) (Owner, bool) {
	h, ok := t.owners[key]
	if !ok {
		return Owner{}, false
	}
	_, uncertain := t.uncertain[key]
	return Owner{Entry: h.entry, Digest: h.digest, ExpiresAt: time.Unix(0, h.expiresAt).UTC(), Uncertain: uncertain}, true
}

// claim applies one claim and reports whether it set an owner or extended an
// uncertain one.
func (t *Table) claim(offset uint64, entry wire.Incarnation, pair Pair, expiresAt int64) bool {
	if earlier, taken := t.owners[pair.Key]; taken {
		// If the trimmed claim had expired by this log time, this claim sets the
		// owner for readers of the whole log, so the owner stays uncertain for as
		// long as this claim could own the key.
		_, uncertain := t.uncertain[pair.Key]
		if uncertain {
			earlier.expiresAt = expiresAt
			t.owners[pair.Key] = earlier
		}
		return uncertain
	}
	t.owners[pair.Key] = compactOwner{entry, pair.Digest, expiresAt}
	if offset < t.uncertainBefore {
		t.uncertain[pair.Key] = struct{}{}
	}
	return true
}

// prune removes the owners that have expired by the log time.
func (t *Table) prune() {
	expired := 0
	for expired < len(t.expiries) && t.expiries[expired].at < t.logTime {
		for _, key := range t.expiries[expired].keys {
			if h, ok := t.owners[key]; ok && h.expiresAt < t.logTime {
				delete(t.owners, key)
				delete(t.uncertain, key)
			}
		}
		t.expiries[expired].keys = nil
		expired++
	}
	t.expiries = t.expiries[expired:]
}
