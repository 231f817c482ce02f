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

// claimState holds the claim table of an entry and the committer, which appends
// claims to the log in batches (group commit). Both are created with the first
// configuration, which sets the dedupe window.
type claimState struct {
	mu        sync.Mutex
	random    *rand.Rand
	table     *claims.Table
	committer *claims.Committer
	// window keeps its value for the life of the process. A longer window would
	// accept keys that the table and the shards have already dropped.
	window  time.Duration
	entries int
}

// init creates the table and the committer unless they exist.
func (s *claimState) init(self wire.Incarnation, window time.Duration) {
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

// addClaim claims the key of a job in phase claiming. wasIdle is set if the job
// was in phase idle at this entry before. Only then may this entry already own
// the key.
func (c *Core) addClaim(now time.Time, sub *job.Submission, wasIdle bool) {
	c.claims.mu.Lock()
	decision, decided := c.claims.committer.Add(now, claims.Claim{
		Pair: claims.Pair{Key: sub.Hash, Digest: sub.Digest}, SubmittedAt: sub.SubmittedAt})
	c.claims.mu.Unlock()
	if !decided {
		if refused := c.takeQuota(now, sub); refused != nil {
			c.withdrawClaim(sub.Hash)
			c.refuseQuota(now, sub, refused, wasIdle)
			return
		}
		c.appendClaims(now)
		return
	}
	if decision.Result == claims.Won && !wasIdle {
		c.env.ReportViolation("G1", "claim", "", "this entry owns key "+sub.Hash.String()+" and has no record of it")
		c.refuseClaiming(now, sub.Hash, refusal.New(refusal.KeyTooOld, "claim", "what became of the key is no longer known").WithRunUnknown())
		return
	}
	c.applyDecisions(now, []claims.Decision{decision})
}

// withdrawClaim stops waiting for a claim. The claim may still take effect; the
// key then stays idle at this entry.
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
	batch, ok := c.claims.committer.NextBatch(now, c.claims.random)
	c.claims.mu.Unlock()
	if ok {
		c.env.Append(batch)
	}
}

// HandleAppendResult handles the result of an append. If err is set and is not
// marked with logclient.ErrNotAppended, the outcome stays unknown until the
// stream has been read.
func (c *Core) HandleAppendResult(nonce uint64, offset uint64, err error) {
	now := c.env.Now()
	c.claims.mu.Lock()
	decisions := c.claims.committer.HandleAppendResult(now, nonce, offset, err)
	c.claims.mu.Unlock()
	c.applyDecisions(now, decisions)
	c.appendClaims(now)
}

// NextClaimOffset returns the offset of the claims stream to read next. If
// immediate is set, the committer needs to see the end of the stream, and the
// read must not wait for new records. The offset is 0 before the first
// configuration.
func (c *Core) NextClaimOffset() (offset uint64, immediate bool) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	if c.claims.committer == nil {
		return 0, false
	}
	return c.claims.table.NextOffset(), c.claims.committer.ReadRequired()
}

// ClaimRecords applies a page that was read from the offset returned by
// NextClaimOffset. The error describes a faulty record that was skipped.
func (c *Core) ClaimRecords(page logclient.Page) error {
	now := c.env.Now()
	c.claims.mu.Lock()
	decisions, err := c.claims.committer.ApplyPage(now, page)
	c.claims.mu.Unlock()
	c.applyDecisions(now, decisions)
	c.appendClaims(now)
	return err
}

// setEntryCount sets the number of entries that share the append budget.
func (c *Core) setEntryCount(entries int) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	c.claims.entries = entries
	if c.claims.committer != nil {
		c.claims.committer.SetEntries(entries)
	}
}

func (c *Core) applyDecisions(now time.Time, decisions []claims.Decision) {
	for _, d := range decisions {
		switch d.Result {
		case claims.Won:
			c.startJob(now, d.Key)
		case claims.Lost:
			c.forwardToOwner(now, d)
		case claims.Conflict:
			c.refuseClaiming(now, d.Key, keyConflict().WithPeer(d.Owner.String()))
		default:
			c.refuseClaiming(now, d.Key, refusal.New(refusal.KeyTooOld, "claim", "the owner of the key can no longer be found out").WithRunUnknown())
		}
	}
}

func keyConflict() *refusal.Error {
	return refusal.New(refusal.KeyConflict, "submit", "the key was submitted before with another body").WithRunUnknown()
}

// forwardToOwner queries the owner of a key on behalf of the calls that wait
// for the key here.
func (c *Core) forwardToOwner(now time.Time, d claims.Decision) {
	sub, waiters := c.dropClaiming(d.Key)
	for _, w := range waiters {
		c.queryOwner(now, sub, d.Owner, w)
	}
}

func (c *Core) refuseClaiming(now time.Time, hash job.KeyHash, refused *refusal.Error) {
	_, waiters := c.dropClaiming(hash)
	replyAll(waiters, Reply{Refusal: refused})
}

// refuseQuota refuses a submission that exceeds its team's quota. A job that
// was idle before returns to that phase, because its earlier claim may still
// take effect.
func (c *Core) refuseQuota(now time.Time, sub *job.Submission, refused *refusal.Error, wasIdle bool) {
	if !wasIdle {
		c.refuseClaiming(now, sub.Hash, downgradeUnlessFirst(sub, refused))
		return
	}
	s := c.shard(sub.Hash)
	s.mu.Lock()
	var waiters []*waiter
	if e, ok := s.jobs[sub.Hash]; ok && e.phase == claiming {
		waiters = s.deactivate(now, sub.Hash, e, idle)
	}
	s.mu.Unlock()
	replyAll(waiters, Reply{Refusal: downgradeUnlessFirst(sub, refused)})
}

// dropClaiming removes a job in phase claiming that this entry will not run.
func (c *Core) dropClaiming(hash job.KeyHash) (*job.Submission, []*waiter) {
	s := c.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.jobs[hash]
	if !ok || e.phase != claiming {
		return nil, nil
	}
	delete(s.jobs, hash)
	s.activeCount--
	return e.sub, e.waiters
}
