// Package claims decides in log order which entry owns a submission key, and
// groups the claims of an entry into appends.
package claims

import (
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
)

// Stream is the name of the log stream.
const Stream = "claims"

// Claim asks for a key.
type Claim struct {
	Key    job.KeyHash `cbor:"1,keyasint"`
	Digest job.Digest  `cbor:"2,keyasint"`
}

// Owner is the entry whose claim of a key is the first in the log.
type Owner struct {
	Entry  wire.Incarnation
	Digest job.Digest
}

// Decision says who owns a key that this entry has claimed.
type Decision struct {
	Key   job.KeyHash
	Owner Owner
}

// Batch is one append.
type Batch struct {
	Nonce uint64
	Data  []byte
}
type record struct {
	Entry  wire.Incarnation `cbor:"1,keyasint"`
	Nonce  uint64           `cbor:"2,keyasint"`
	Claims []Claim          `cbor:"3,keyasint"`
}

// Committer folds the stream and batches the claims of one entry. It is not safe
// for concurrent use.
type Committer struct {
	self      wire.Incarnation
	random    *rand.Rand
	next      uint64
	owners    map[job.KeyHash]Owner
	pending   []Claim
	waiting   map[job.KeyHash]bool
	inflight  *record
	notBefore time.Time
}

func NewCommitter(self wire.Incarnation, entries int, random *rand.Rand) *Committer {
	return &Committer{self: self, random: random, next: 1, owners: map[job.KeyHash]Owner{}, waiting: map[job.KeyHash]bool{}}
}
func (c *Committer) SetEntries(int)     {}
func (c *Committer) NextOffset() uint64 { return c.next }
func (c *Committer) Owner(k job.KeyHash) (Owner, bool) {
	o, ok := c.owners[k]
	return o, ok
}
func (c *Committer) Add(now time.Time, cl Claim) []Decision {
	if o, ok := c.owners[cl.Key]; ok {
		return []Decision{{cl.Key, o}}
	}
	c.pending = append(c.pending, cl)
	c.waiting[cl.Key] = true
	return nil
}
func (c *Committer) Withdraw(k job.KeyHash) {
	delete(c.waiting, k)
	for i := range c.pending {
		if c.pending[i].Key == k {
			c.pending = append(c.pending[:i], c.pending[i+1:]...)
			return
		}
	}
}
func (c *Committer) Next(now time.Time) (Batch, bool) {
	if c.inflight != nil || len(c.pending) == 0 || now.Before(c.notBefore) {
		return Batch{}, false
	}
	r := &record{Entry: c.self, Nonce: c.random.Uint64(), Claims: c.pending}
	c.pending = nil
	c.inflight = r
	data, _ := cbor.Marshal(r)
	return Batch{r.Nonce, data}, true
}
func (c *Committer) Appended(now time.Time, nonce, offset uint64, err error) []Decision {
	if c.inflight == nil || c.inflight.Nonce != nonce {
		return nil
	}
	if err != nil {
		for _, cl := range c.inflight.Claims {
			if c.waiting[cl.Key] {
				c.pending = append(c.pending, cl)
			}
		}
		c.inflight = nil
		c.notBefore = now.Add(50 * time.Millisecond)
		return nil
	}
	if offset == c.next {
		r := c.inflight
		c.inflight = nil
		return c.apply(offset, *r)
	}
	return nil
}
func (c *Committer) apply(offset uint64, r record) (out []Decision) {
	c.next = offset + 1
	for _, cl := range r.Claims {
		if _, ok := c.owners[cl.Key]; !ok {
			c.owners[cl.Key] = Owner{r.Entry, cl.Digest}
		}
		if c.waiting[cl.Key] {
			c.Withdraw(cl.Key)
			out = append(out, Decision{cl.Key, c.owners[cl.Key]})
		}
	}
	if c.inflight != nil && c.inflight.Nonce == r.Nonce {
		c.inflight = nil
	}
	return out
}
func (c *Committer) Records(now time.Time, p logclient.Page) (out []Decision) {
	for _, rec := range p.Records {
		if rec.Offset != c.next {
			continue
		}
		var r record
		cbor.Unmarshal(rec.Data, &r)
		out = append(out, c.apply(rec.Offset, r)...)
	}
	return out
}
