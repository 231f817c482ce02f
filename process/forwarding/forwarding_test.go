package forwarding

import (
	"testing"
	"time"
)

// Guards against an entry that keeps all submissions while it is short of processor time, that
// changes its mind with each window, or that goes on to forward when it has time.
func TestShareFollowsTheWait(t *testing.T) {
	var s Share
	now := time.UnixMilli(1_000_000)
	update := func(windows int, wait time.Duration, rejects bool) float64 {
		for range windows {
			now = now.Add(window)
			s.Update(now, wait, rejects)
			s.Update(now.Add(window/2), wait, rejects)
		}
		return s.value
	}
	for i, step := range []struct {
		windows int
		wait    time.Duration
		rejects bool
		want    float64
	}{
		{20, shortWait / 2, false, 0},
		{1, 2 * longWait, false, growth},
		{3, longWait, false, growth},
		{1, 0, true, 1},
		{5, longWait, false, 1},
		{10, shortWait / 2, false, 0.8},
		{50, 0, false, 0},
		{10, 10 * longWait, false, 1},
	} {
		if got := update(step.windows, step.wait, step.rejects); got < step.want-1e-6 || got > step.want+1e-6 {
			t.Errorf("step %d: share %.2f, want %.2f", i, got, step.want)
		}
	}
}

// Guards against submissions for a peer that takes none, and against all of them for one.
func TestPeersAreChosenBySpareTime(t *testing.T) {
	if got := Choose([]Peer{{0, 0}, {40, 40}}, 0.5); got != -1 {
		t.Errorf("peer %d chosen though none has time", got)
	}
	peers := []Peer{{0, 0}, {300, 0}, {150, 50}}
	chosen := make([]int, len(peers))
	for i := range 400 {
		chosen[Choose(peers, float64(i)/400)]++
	}
	if chosen[0] != 0 || chosen[1] != 300 || chosen[2] != 100 {
		t.Errorf("chosen %v of 400, want 0, 300 and 100", chosen)
	}
	for _, test := range []struct {
		cores, use, share float64
		want              int
	}{{0.8, 0.25, 0, 600}, {0.8, 0.25, 0.02, 0}, {0.192, 0.9, 0, 0}, {0, 0, 0, 0}} {
		if got := Spare(test.cores, test.use, test.share); got != test.want {
			t.Errorf("spare of %v is %d, want %d", test, got, test.want)
		}
	}
}
