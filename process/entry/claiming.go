package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azurerouter/azurerouter/connection/logclient"
	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/claims"
	"github.com/azurerouter/azurerouter/request/job"
	"github.com/azurerouter/azurerouter/request/refusal"
)

// claimState is the claim table and the group commit of an entry. It begins
// with the first configuration, which names the dedupe window.
type claimState struct {
	mu        sync.Mutex
	random    *rand.Rand
	table     *claims.Table
	committer *claims.Committer
	// window stays as it was at the start of the process. A longer one would
	// accept keys that the table and the shards have already forgotten.
	window  time.Duration
	entries int
}

// begin creates the table unless it exists.
func (s *claimState) begin(self wire.Incarnation, window time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.committer != nil {
		return
	}
	s.window = window
	s.table = claims.NewTable(window)
	s.committer = claims.NewCommitter(self, s.table, window)
	s.committer.SetEntries(s.entries)
}

// waiting returns the number of claims that are not decided.
func (s *claimState) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.committer == nil {
		return 0
	}
	return s.committer.Waiting()
}

// keyWindow returns how long keys are remembered.
func (s *claimState) keyWindow() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window
}

// addClaim asks for the key of a job in phase claiming. restart is set if the
// job was idle here before: only then may its owner be this entry already.
func (c *Core) addClaim(now time.Time, sub *job.Submission, restart bool) {
	c.claims.mu.Lock()
	decision, known := c.claims.committer.Add(now, claims.Claim{
		Pair: claims.Pair{Key: sub.Hash, Digest: sub.Digest}, SubmittedAt: sub.SubmittedAt})
	c.claims.mu.Unlock()
	if !known {
		if refused := c.takeQuota(now, sub); refused != nil {
			c.withdrawClaim(sub.Hash)
			c.refuseQuota(now, sub, refused, restart)
			return
		}
		c.appendClaims(now)
		return
	}
	if decision.Verdict == claims.Won && !restart {
		c.env.Violated("G1", "claim", "", "this entry owns key "+sub.Hash.String()+" and has no record of it")
		c.refuseClaiming(now, sub.Hash, refusal.New(refusal.KeyTooOld, "claim", "what became of the key is no longer known").Unknown())
		return
	}
	c.claimsDecided(now, []claims.Decision{decision})
}

// withdrawClaim takes back a claim. It may still come into effect, which leaves
// the key idle at this entry.
func (c *Core) withdrawClaim(hash job.KeyHash) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	c.claims.committer.Withdraw(hash)
}

// appendClaims starts the next append if none is in flight.
func (c *Core) appendClaims(now time.Time) {
	c.claims.mu.Lock()
	if c.claims.committer == nil {
		c.claims.mu.Unlock()
		return
	}
	batch, ok := c.claims.committer.Next(now, c.claims.random)
	c.claims.mu.Unlock()
	if ok {
		c.env.Append(batch)
	}
}

// Appended takes the result of an append. An error that is not marked
// logclient.ErrNotAppended leaves the outcome open until the stream is read.
func (c *Core) Appended(nonce uint64, offset uint64, err error) {
	now := c.env.Now()
	c.claims.mu.Lock()
	decisions := c.claims.committer.Appended(now, nonce, offset, err)
	c.claims.mu.Unlock()
	c.claimsDecided(now, decisions)
	c.appendClaims(now)
}

// NextClaim returns the offset to read next, and whether the end of the stream
// is needed at once, so that the read must not wait for new records. It returns
// 0 before the first configuration.
func (c *Core) NextClaim() (offset uint64, atOnce bool) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	if c.claims.committer == nil {
		return 0, false
	}
	return c.claims.table.Next(), c.claims.committer.MustRead()
}

// ClaimRecords takes a page read from the offset that NextClaim returned. The
// error says which records were skipped.
func (c *Core) ClaimRecords(page logclient.Page) error {
	now := c.env.Now()
	c.claims.mu.Lock()
	decisions, err := c.claims.committer.Records(now, page)
	c.claims.mu.Unlock()
	c.claimsDecided(now, decisions)
	c.appendClaims(now)
	return err
}

// setClaimers divides the append budget among the known entries.
func (c *Core) setClaimers(entries int) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	c.claims.entries = entries
	if c.claims.committer != nil {
		c.claims.committer.SetEntries(entries)
	}
}

func (c *Core) claimsDecided(now time.Time, decisions []claims.Decision) {
	for _, d := range decisions {
		switch d.Verdict {
		case claims.Won:
			c.run(now, d.Key)
		case claims.Lost:
			c.claimLost(now, d)
		case claims.Conflict:
			c.refuseClaiming(now, d.Key, keyConflict().At(d.Owner.String()))
		default:
			c.refuseClaiming(now, d.Key, refusal.New(refusal.KeyTooOld, "claim", "the owner of the key can no longer be found out").Unknown())
		}
	}
}

func keyConflict() *refusal.Error {
	return refusal.New(refusal.KeyConflict, "submit", "the key was submitted before with another body").Unknown()
}

// claimLost hands the callers of a key over to its owner.
func (c *Core) claimLost(now time.Time, d claims.Decision) {
	sub, waiters := c.dropClaiming(d.Key)
	for _, w := range waiters {
		c.askOwner(now, sub, d.Owner, w)
	}
}

func (c *Core) refuseClaiming(now time.Time, hash job.KeyHash, refused *refusal.Error) {
	_, waiters := c.dropClaiming(hash)
	replyAll(waiters, Reply{Refusal: refused})
}

// refuseQuota refuses a submission whose claim was not appended. One that was
// idle before stays known: its earlier claim may still come into effect.
func (c *Core) refuseQuota(now time.Time, sub *job.Submission, refused *refusal.Error, restart bool) {
	if !restart {
		c.refuseClaiming(now, sub.Hash, unlessFirst(sub, refused))
		return
	}
	s := c.shard(sub.Hash)
	s.mu.Lock()
	var waiters []*waiter
	if e, ok := s.jobs[sub.Hash]; ok && e.phase == claiming {
		waiters = s.leave(now, sub.Hash, e, idle)
	}
	s.mu.Unlock()
	replyAll(waiters, Reply{Refusal: unlessFirst(sub, refused)})
}

// dropClaiming forgets a job that this entry will not run.
func (c *Core) dropClaiming(hash job.KeyHash) (*job.Submission, []*waiter) {
	s := c.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.jobs[hash]
	if !ok || e.phase != claiming {
		return nil, nil
	}
	delete(s.jobs, hash)
	s.active--
	return e.sub, e.waiters
}
