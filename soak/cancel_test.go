package soak

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// cancelBound is what section 5.2 of the design page and the times of the fake
// network allow: the caller's and the entry's message and the agent's report,
// the batching of cancellations and one tick of the entry.
const cancelBound = 3*latencyMax + 5*time.Millisecond + entryTick

// Guards against a place in a queue, a slot or a target call that stays taken
// after its caller has left.
func TestCancelFreesEverything(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			r, err := RunCancel(CancelOptions{Seed: seed, Requests: 1000, Entries: 3, Agents: 100, After: 2 * time.Millisecond})
			if err != nil || len(r.Violations) > 0 {
				t.Fatalf("%v, violations %v", err, r.Violations)
			}
			if free := max(r.QueueFree, r.CallsFree, r.SlotsFree, r.CountFree); free > cancelBound {
				t.Errorf("free after %v, bound %v; repeat with: azurerouter bench cancel -agents 100 -requests 1000 -after 2ms -seed %d",
					free, cancelBound, seed)
			}
		})
	}
}

// Guards against figures that depend on more than their seed.
func TestCancelRepeats(t *testing.T) {
	options := CancelOptions{Seed: 5, Requests: 300, Entries: 2, Agents: 10, After: 20 * time.Millisecond}
	first, _ := RunCancel(options)
	second, _ := RunCancel(options)
	if !reflect.DeepEqual(first, second) || first.Messages["caller to entry: closed call"] != 300 {
		t.Errorf("%+v, then %+v", first, second)
	}
}
