package intake

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoRoom is the error of a request that was given up because the budget is full. Nothing
// of the request has been carried out.
var ErrNoRoom = errors.New("too many bytes of unfinished requests")

// budget is the memory for unfinished requests. It is safe for concurrent use.
type budget struct {
	total int64

	mu sync.Mutex
	// used is the sum of all charges, leaving the part of it whose requests were evicted and
	// have not been closed yet.
	used, leaving int64
	charges       map[*charge]struct{}
	// changed is signalled when used decreases and when a request is evicted.
	changed *sync.Cond
	// evicted and refused count requests.
	evicted, refused uint64
}

func newBudget(total int64) *budget {
	b := &budget{total: total, charges: make(map[*charge]struct{})}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// charge is what one request takes of the budget. The mutex of the budget guards its fields.
type charge struct {
	budget *budget
	// evict makes the request end without waiting for it.
	evict func()
	usage
	isEvicted bool
	// closed is set when nothing is charged any more.
	closed bool
	// head is the charge for the head of the same request, or nil.
	head *charge
}

// usage is what the choice of requests to evict depends on.
type usage struct {
	address netip.Addr
	started time.Time
	// held is the amount charged, arrived the bytes that have arrived.
	held, arrived int64
	// complete is set when the whole request has arrived. It is not evicted any more.
	complete bool
}

// open starts a request that holds nothing yet.
func (b *budget) open(now time.Time, address netip.Addr, evict func()) *charge {
	c := &charge{budget: b, evict: evict, usage: usage{address: address, started: now}}
	b.mu.Lock()
	b.charges[c] = struct{}{}
	b.mu.Unlock()
	return c
}

// grow charges n more bytes. If the budget is full, it evicts slower or larger requests and waits
// until they are closed. It returns ErrNoRoom if there is none that has to give way to this
// request, or if this request is evicted. A request that holds the whole budget alone may
// exceed it, so that every request within the limits of the process can be served.
func (c *charge) grow(now time.Time, n int64) error {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.held+n > b.total && !b.alone(c) {
		b.refused++
		return ErrNoRoom
	}
	for !c.isEvicted && !c.closed && b.used+n > b.total && !b.alone(c) {
		if b.used-b.leaving+n <= b.total {
			began := time.Now()
			b.changed.Wait()
			now = now.Add(time.Since(began))
			continue
		}
		victim := b.victim(now, c, n)
		if victim == nil {
			b.refused++
			return ErrNoRoom
		}
		b.evictLocked(victim)
	}
	if c.isEvicted || c.closed {
		// A connection may be closed while its reader waits here. What it charged then would
		// never be returned.
		return ErrNoRoom
	}
	c.held += n
	b.used += n
	return nil
}

// alone reports whether nothing but the request is charged.
func (b *budget) alone(c *charge) bool {
	own := c.held
	if c.head != nil {
		own += c.head.held
	}
	return b.used == own
}

// victim returns the request that has to give way to c, or nil if c has to.
func (b *budget) victim(now time.Time, c *charge, n int64) *charge {
	others := make([]usage, 0, len(b.charges))
	charges := make([]*charge, 0, len(b.charges))
	for other := range b.charges {
		if other != c && !other.isEvicted && !other.complete && other.held > 0 {
			others, charges = append(others, other.usage), append(charges, other)
		}
	}
	newcomer := c.usage
	newcomer.held += n
	if i := chooseVictim(now, newcomer, others); i >= 0 {
		return charges[i]
	}
	return nil
}

func (b *budget) evictLocked(c *charge) {
	c.isEvicted = true
	b.evicted++
	b.leaving += c.held
	c.evict()
	b.changed.Broadcast()
}

// shrink returns n bytes.
func (c *charge) shrink(n int64) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.shrinkLocked(n)
}

func (c *charge) shrinkLocked(n int64) {
	c.held -= n
	c.budget.used -= n
	if c.isEvicted {
		c.budget.leaving -= n
	}
	c.budget.changed.Broadcast()
}

// note records that n bytes have arrived.
func (c *charge) note(n int) {
	c.budget.mu.Lock()
	c.arrived += int64(n)
	c.budget.mu.Unlock()
}

// finish records that the whole request has arrived. It reports false if the request was
// evicted before.
func (c *charge) finish() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.complete = true
	return !c.isEvicted
}

// wasEvicted reports whether the request has to end.
func (c *charge) wasEvicted() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.isEvicted
}

// close ends the charge.
func (c *charge) close() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.closed = true
	c.shrinkLocked(c.held)
	delete(b.charges, c)
}
