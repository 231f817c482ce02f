package dispatch_test

import (
	"testing"
	"time"
)

// outage is how long all instances have no power in these tests.
const outage = 1200 * time.Millisecond

// losePower stops every entry and agent and starts them again after the outage,
// within a third of a second of each other. Their targets go on.
func (c *cluster) losePower() {
	for _, e := range c.entries {
		e.alive = false
		c.after(c.startTime(), func() { c.startEntry(e) })
	}
	for _, a := range c.agents {
		a.alive, a.inbox = false, nil
		c.after(c.startTime(), func() { c.startAgent(a) })
	}
}

func (c *cluster) startTime() time.Duration {
	return outage + time.Duration(c.random.Int64N(int64(300*time.Millisecond)))
}

// Guards against a recovery in which callers who have lost their connection and
// come again, too late for their objective, take the room of those who come for
// the first time. With the new jobs they are one and a half times what the
// targets can run for the first second.
func TestNewJobsAreServedInTimeAfterALossOfPower(t *testing.T) {
	var inTime, asked, answered, all int
	for seed := range uint64(5) {
		c := newCluster(t, 20+seed, 3, equalRooms(9, 32000))
		c.run(500 * time.Millisecond)
		down := c.now.Add(time.Second)
		c.after(time.Second, c.losePower)
		from, to := down.Add(outage+300*time.Millisecond), down.Add(outage+2*time.Second)
		for _, k := range playCallers(c, 4*time.Second, 0.7*ledgerCapacity) {
			all++
			if k.result != nil {
				answered++
			}
			if k.began.After(from) && k.began.Before(to) {
				asked++
				if k.completedInTime() {
					inTime++
				}
			}
		}
	}
	t.Logf("%d of %d in time, %d of %d answered", inTime, asked, answered, all)
	if share := float64(inTime) / float64(asked); share < 0.9 {
		t.Errorf("%.3f of the new jobs in time, expected 0.9 or more", share)
	}
}

// Guards against a queue whose callers always leave less time than its time-out:
// taken for repeats, all of them would be refused whenever there is no room at
// once.
func TestCallersWithLittleTimeAreNotTakenForRepeats(t *testing.T) {
	c := newCluster(t, 41, 1, equalRooms(1, 4000))
	c.run(500 * time.Millisecond)
	submit := func() *caller {
		s := c.submission("line", 1, 100*time.Millisecond, 1000, 1)
		s.Objective, s.Waited = time.Second, 1300*time.Millisecond
		return c.call(s, 0)
	}
	for range 200 {
		submit()
		c.run(50 * time.Millisecond)
	}
	var callers []*caller
	for range 8 {
		callers = append(callers, submit())
	}
	c.run(2 * time.Second)
	for _, k := range callers {
		if !k.completedInTime() {
			t.Errorf("%+v after %v", k.result, k.took)
		}
	}
}
