package evacuation

import (
	"slices"
	"testing"
)

// Guards against a zone that stays evacuated although it was taken back in records that
// the log has dropped, and against one batch that undoes the zones of another.
func TestTrackerFollowsRequestsAndSnapshots(t *testing.T) {
	evacuate, takeBack := func(zone string) Request { return Request{zone, true} }, func(zone string) Request { return Request{zone, false} }
	var tracker Tracker
	steps := []struct {
		name     string
		requests []Request
		snapshot bool
		want     []string
	}{
		{"nothing requested", nil, true, nil},
		{"two zones, in one batch each", []Request{evacuate("b")}, false, []string{"b"}},
		{"second zone", []Request{evacuate("a")}, false, []string{"a", "b"}},
		{"the same again", []Request{evacuate("a")}, false, []string{"a", "b"}},
		{"one taken back", []Request{takeBack("b")}, false, []string{"a"}},
		{"taken back and evacuated again", []Request{takeBack("a"), evacuate("a")}, false, []string{"a"}},
		{"records without requests", nil, false, []string{"a"}},
		{"snapshot without the zone", []Request{evacuate("c")}, true, []string{"c"}},
		{"unknown zone taken back", []Request{takeBack("x")}, false, []string{"c"}},
	}
	for i, step := range steps {
		state := tracker.Apply(step.requests, step.snapshot, uint64(i))
		if !slices.Equal(state.Zones, step.want) || state.Offset != uint64(i) {
			t.Errorf("%s: %+v, want zones %v at offset %d", step.name, state, step.want, i)
		}
	}
}
