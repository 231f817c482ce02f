// Package claims decides which entry owns a submission key. The log stream of
// claims is the only authority: the first claim of a key in log order wins.
// Table is the fold of that stream, Committer batches the claims of one entry.
// Both read no clock and no random source of their own and are not safe for
// concurrent use.
package claims

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
)

// ErrOrder marks a record that does not follow the last one applied.
var ErrOrder = errors.New("claim record out of order")

// Owner is the owner of a key.
type Owner struct {
	Entry  wire.Incarnation
	Digest job.Digest
	// Until is the log time at which the key becomes free.
	Until time.Time
	// Doubtful means that a trimmed record may hold an earlier claim of the
	// key. The named entry may be asked, but must not take itself for the
	// owner.
	Doubtful bool
}

// Table holds the owner of every key claimed within twice the dedupe window,
// in log time. Readers that have applied the same records, with or without the
// trimmed ones before them, agree on every owner that is not doubtful.
type Table struct {
	keep    time.Duration
	next    uint64
	now     int64
	horizon uint64
	owners  map[job.KeyHash]held
	// doubtful is apart from owners because it is nearly always empty.
	doubtful map[job.KeyHash]struct{}
	// expiries is in ascending order of time; an extended owner is in several.
	expiries []expiry
}

// held is the compact form of an owner: a table holds over a million of them
// at 1,000 claims per second. Times are log times in Unix nanoseconds.
type held struct {
	entry  wire.Incarnation
	digest job.Digest
	until  int64
}

// expiry names the keys that one record claimed or extended.
type expiry struct {
	at   int64
	keys []job.KeyHash
}

// NewTable returns a table that has applied nothing. The retention time of the
// log must be at least twice the dedupe window.
func NewTable(window time.Duration) *Table {
	return &Table{keep: 2 * window, next: 1, now: math.MinInt64,
		owners: make(map[job.KeyHash]held), doubtful: make(map[job.KeyHash]struct{})}
}

// Next returns the offset that Apply expects.
func (t *Table) Next() uint64 { return t.next }

// Len returns the number of keys held.
func (t *Table) Len() int { return len(t.owners) }

// Apply applies the record at an offset, appended at a log time. Records are
// applied in the order of their offsets without gaps, except after Gap. An
// error marked ErrOrder has no effect. An error marked ErrRecord means that the
// record was skipped, as it is by every other reader.
func (t *Table) Apply(offset uint64, at time.Time, data []byte) (Record, error) {
	if offset != t.next {
		return Record{}, errors.Mark(errors.Newf("record %d where %d is expected", offset, t.next), ErrOrder)
	}
	t.next++
	t.now = max(t.now, at.UnixNano())
	t.prune()
	record, err := DecodeRecord(data)
	if err != nil {
		return Record{}, err
	}
	end := expiry{at: t.now + int64(t.keep), keys: make([]job.KeyHash, 0, len(record.Pairs))}
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

// Gap moves to offset first because the records before it have been trimmed.
// next is the offset of the next append, as read together with first.
//
// A trimmed record is older than the retention time. Its claims have expired,
// and so have those applied before it. They cannot concern a record appended
// after the gap was seen, at or after next, but may concern the retained ones
// before: an owner found there is doubtful.
func (t *Table) Gap(first, next uint64) {
	if first <= t.next {
		return
	}
	t.next = first
	t.horizon = max(t.horizon, next)
	clear(t.owners)
	clear(t.doubtful)
	t.expiries = nil
}

// Owner returns the owner of a key. It reports false for a key that is free as
// far as the log has been applied.
func (t *Table) Owner(key job.KeyHash) (Owner, bool) {
	h, ok := t.owners[key]
	if !ok {
		return Owner{}, false
	}
	_, doubtful := t.doubtful[key]
	return Owner{Entry: h.entry, Digest: h.digest, Until: time.Unix(0, h.until).UTC(), Doubtful: doubtful}, true
}

// claim reports whether the claim made an owner or extended a doubtful one.
func (t *Table) claim(offset uint64, entry wire.Incarnation, pair Pair, until int64) bool {
	if earlier, taken := t.owners[pair.Key]; taken {
		// If the trimmed claim had expired by now, this claim is the one that
		// readers of the whole log follow.
		_, doubtful := t.doubtful[pair.Key]
		if doubtful {
			earlier.until = until
			t.owners[pair.Key] = earlier
		}
		return doubtful
	}
	t.owners[pair.Key] = held{entry, pair.Digest, until}
	if offset < t.horizon {
		t.doubtful[pair.Key] = struct{}{}
	}
	return true
}

func (t *Table) prune() {
	done := 0
	for done < len(t.expiries) && t.expiries[done].at < t.now {
		for _, key := range t.expiries[done].keys {
			if h, ok := t.owners[key]; ok && h.until < t.now {
				delete(t.owners, key)
				delete(t.doubtful, key)
			}
		}
		t.expiries[done].keys = nil
		done++
	}
	t.expiries = t.expiries[done:]
}
