package dispatch_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/dispatch"
)

// Guards against an agent that invites an entry without end, because its room is enough for
// the smallest of the waiting tasks but for none of the most urgent ones, which alone a pass
// tries to place (deadly-kept on braeholm-payouts-grown: 1,400 of 1,853 messages of an entry
// each second).
func TestFruitlessInvitationsAreNotRepeatedAtOnce(t *testing.T) {
	const large, maxMessagesPerSecond = 60, 120
	c := newCluster(t, 61, 1, equalRooms(1, 1000))
	c.run(500 * time.Millisecond)
	run := func(cpu int) {
		c.entries[0].core.RunDurable(dispatch.DurableJob{Submission: c.submission("q", 1, time.Minute, cpu, 0), Term: 1, NotBefore: c.now},
			func(dispatch.Result) {})
	}
	run(600)
	c.run(50 * time.Millisecond)
	for range large {
		run(900)
	}
	c.run(50 * time.Millisecond)
	run(300)
	c.run(200 * time.Millisecond)
	before := c.sent
	c.run(time.Second)
	if sent := c.sent - before; sent > maxMessagesPerSecond {
		t.Errorf("%d messages in a second without a change, want at most %d", sent, maxMessagesPerSecond)
	}
}
