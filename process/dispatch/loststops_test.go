package dispatch_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/dispatch"
)

// Guards against two runs of a task at the same time while orders to stop runs get lost
// at a target and its lease is renewed: after a session has ended, and after a caller has
// left and submitted its job to another entry.
func TestRunsEndAlthoughStopsAreLost(t *testing.T) {
	cases := map[string]func(c *cluster, cancel func()){
		"entry cut off": func(c *cluster, _ func()) {
			c.cut(func(l *link) bool { return l.entry == c.entries[0] && l.agent == c.agents[0] })
		},
		"caller left": func(_ *cluster, cancel func()) { cancel() },
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 71, 2, equalRooms(1, 16000))
			c.run(500 * time.Millisecond)
			s := c.submission("q", 2, 20*time.Second, 1000, 0)
			cancel := c.entries[0].core.Submit(s, func(dispatch.Result) {})
			c.run(200 * time.Millisecond)
			c.stopsLost = true
			disturb(c, cancel)
			c.run(resendAfter - timeStep)
			if running := c.running(); running > 0 {
				t.Errorf("%d runs go on when the tasks may start elsewhere", running)
			}
		})
	}
}
