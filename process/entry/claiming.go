package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/claims"
	"github.com/azurerouter/azurerouter/request/job"
)

// claimState is the claim table and the group commit of an entry.
type claimState struct {
	mu        sync.Mutex
	committer *claims.Committer
}

func (s *claimState) init(self wire.Incarnation, entries int, random *rand.Rand) {
	s.committer = claims.NewCommitter(self, entries, random)
}

func (c *Core) claimOwner(hash job.KeyHash) (claims.Owner, bool) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	return c.claims.committer.Owner(hash)
}

// addClaim asks for the key. The decision comes with claimDecided.
func (c *Core) addClaim(now time.Time, sub *job.Submission) {
	c.claims.mu.Lock()
	decisions := c.claims.committer.Add(now, claims.Claim{Key: sub.Hash, Digest: sub.Digest})
	c.claims.mu.Unlock()
	c.claimsDecided(now, decisions)
	c.appendClaims(now)
}

// withdrawClaim takes back a claim that is not in the log yet. One that is, or
// that turns up later, leaves the key idle at this entry.
func (c *Core) withdrawClaim(hash job.KeyHash) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	c.claims.committer.Withdraw(hash)
}

// appendClaims starts the next append if none is in flight.
func (c *Core) appendClaims(now time.Time) {
	c.claims.mu.Lock()
	batch, ok := c.claims.committer.Next(now)
	c.claims.mu.Unlock()
	if ok {
		c.env.Append(batch)
	}
}

// Appended takes the result of an append. An error that is not marked
// logclient.ErrNotAppended leaves the outcome open until it is read.
func (c *Core) Appended(nonce uint64, offset uint64, err error) {
	now := c.env.Now()
	c.claims.mu.Lock()
	decisions := c.claims.committer.Appended(now, nonce, offset, err)
	c.claims.mu.Unlock()
	c.claimsDecided(now, decisions)
	c.appendClaims(now)
}

// NextClaim returns the offset to read next.
func (c *Core) NextClaim() uint64 {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	return c.claims.committer.NextOffset()
}

// ClaimRecords takes a page of the claims stream.
func (c *Core) ClaimRecords(page logclient.Page) {
	now := c.env.Now()
	c.claims.mu.Lock()
	decisions := c.claims.committer.Records(now, page)
	c.claims.mu.Unlock()
	c.claimsDecided(now, decisions)
	c.appendClaims(now)
}

// SetEntryCount divides the append budget among the known entries.
func (c *Core) SetEntryCount(entries int) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	c.claims.committer.SetEntries(entries)
}

func (c *Core) claimsDecided(now time.Time, decisions []claims.Decision) {
	for _, d := range decisions {
		if d.Owner.Entry == c.self {
			c.run(now, d.Key)
			continue
		}
		c.claimLost(now, d)
	}
}

// claimLost hands the callers of a key over to its owner.
func (c *Core) claimLost(now time.Time, d claims.Decision) {
	s := c.shard(d.Key)
	s.mu.Lock()
	e, ok := s.jobs[d.Key]
	if !ok || e.phase != claiming {
		s.mu.Unlock()
		return
	}
	waiters := e.waiters
	delete(s.jobs, d.Key)
	s.active--
	s.mu.Unlock()
	for _, w := range waiters {
		c.askOwner(now, e.sub, d.Owner, w)
	}
}
