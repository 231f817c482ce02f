package dispatch_test

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/dispatch"
	"github.com/azurerouter/azurerouter/version/evacuation"
)

// evacuationBound is the time from the operator's request within which starts at the
// targets of the zone must end.
const evacuationBound = 5 * time.Second

// newZonedCluster returns a cluster with two targets in each of the zones a and b.
func newZonedCluster(t *testing.T, entries int) *cluster {
	c := newCluster(t, 1, entries, equalRooms(4, 8000))
	for i, a := range c.agents {
		a.zone = []string{"a", "b"}[i%2]
		c.startAgent(a)
	}
	c.run(2 * time.Second)
	return c
}

// submitFor submits short jobs through all entries for a duration and returns their
// callers.
func (c *cluster) submitFor(d time.Duration) []*caller {
	var callers []*caller
	for end := c.now.Add(d); c.now.Before(end); c.step() {
		if c.now.UnixMilli()%20 == 0 {
			callers = append(callers, c.call(c.submission("check", 2, 30*time.Millisecond, 1000, 0), c.random.IntN(len(c.entries))))
		}
	}
	return callers
}

func (k *caller) completed() bool { return k.result != nil && k.result.Code == dispatch.Completed }

// startsIn returns the number of runs that the agents of a zone have started.
func (c *cluster) startsIn(zone string) (starts uint64) {
	for _, a := range c.agents {
		if a.zone == zone {
			starts += a.core.Dump().Counters.Started
		}
	}
	return starts
}

// Guards against starts in an evacuated zone, where only one side has learned of it: an
// entry orders nothing there although the agents do not know, and an agent refuses what an
// entry that is cut off from the others still orders. Jobs are served in the other zone.
func TestNothingStartsInAnEvacuatedZone(t *testing.T) {
	state := evacuation.State{Offset: 5, Zones: []string{"a"}}
	cases := []struct {
		name   string
		inform func(c *cluster)
	}{
		{"known to all", func(c *cluster) {
			for _, e := range c.entries {
				e.core.SetEvacuation(state)
			}
			for _, a := range c.agents {
				a.core.HandleEvacuation(state)
			}
		}},
		{"agents late", func(c *cluster) {
			for _, e := range c.entries {
				e.core.SetEvacuation(state)
			}
		}},
		{"one entry cut off", func(c *cluster) {
			c.entries[0].core.SetEvacuation(state)
			for _, a := range c.agents {
				a.core.HandleEvacuation(state)
			}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newZonedCluster(t, 2)
			c.submitFor(time.Second)
			if c.startsIn("a") == 0 {
				t.Fatal("no start in zone a before the evacuation")
			}
			test.inform(c)
			before, beforeElsewhere := c.startsIn("a"), c.startsIn("b")
			callers := c.submitFor(evacuationBound)
			c.run(time.Second)
			if started := c.startsIn("a") - before; started != 0 {
				t.Errorf("%d starts in the evacuated zone", started)
			}
			if c.startsIn("b") == beforeElsewhere {
				t.Error("no start in the other zone")
			}
			outcomes := outcomesOf(callers)
			if o := outcomes["check"]; o.inTime < o.submitted*95/100 {
				t.Errorf("%d of %d jobs in time, though half of the targets were free for them", o.inTime, o.submitted)
			}
		})
	}
}

// Guards against a run that is stopped by an evacuation, and against a zone that stays
// empty after it was taken back, or is used again because of an older state.
func TestEvacuatedZoneIsTakenBack(t *testing.T) {
	c := newZonedCluster(t, 1)
	long := c.call(c.submission("long", 4, time.Second, 4000, 0), 0)
	c.run(200 * time.Millisecond)
	apply := func(state evacuation.State) {
		c.entries[0].core.SetEvacuation(state)
		for _, a := range c.agents {
			a.core.HandleEvacuation(state)
		}
	}
	apply(evacuation.State{Offset: 5, Zones: []string{"a", "b"}})
	apply(evacuation.State{Offset: 4})
	started := c.startsIn("a") + c.startsIn("b")
	waiting := c.call(c.submission("check", 1, 30*time.Millisecond, 1000, 0), 0)
	c.run(100 * time.Millisecond)
	if now := c.startsIn("a") + c.startsIn("b"); now != started {
		t.Errorf("%d starts although both zones are evacuated", now-started)
	}
	apply(evacuation.State{Offset: 7, Zones: []string{"b"}})
	before := c.startsIn("b")
	c.run(1500 * time.Millisecond)
	if !long.completed() || !waiting.completed() || c.startsIn("b") != before {
		t.Errorf("long job done: %v, waiting job done: %v, starts in the zone that stays evacuated: %d", long.completed(), waiting.completed(), c.startsIn("b")-before)
	}
}
