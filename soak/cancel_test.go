package soak

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// cancelBound is the longest time that section 5.2 of the design page and the times
// of the fake network allow: one latency each for the message of the caller, the
// message of the entry and the report of the agent, 5 ms for the batching of
// cancellations, and one tick of the entry.
const cancelBound = 3*latencyMax + 5*time.Millisecond + entryTickInterval

// Guards against queue entries, slots and target calls that stay occupied after
// the caller has disconnected, because a cancellation is lost or not passed on.
func TestCancelFreesQueuesSlotsAndCalls(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			r, err := RunCancel(CancelOptions{Seed: seed, Requests: 1000, Entries: 3, Agents: 100, DisconnectAfter: 2 * time.Millisecond})
			if err != nil || len(r.Violations) > 0 {
				t.Fatalf("error %v, violations %v", err, r.Violations)
			}
			if free := max(r.EntryQueuesFree, r.TargetCallsFree, r.AgentsFree, r.OutstandingFree); free > cancelBound {
				t.Errorf("free after %v, bound %v; repeat with: azurerouter bench cancel -agents 100 -requests 1000 -after 2ms -seed %d",
					free, cancelBound, seed)
			}
		})
	}
}

// Guards against results that differ between runs with the same seed, which would
// make the figures of "bench cancel" impossible to reproduce.
func TestCancelSameSeedGivesSameResult(t *testing.T) {
	options := CancelOptions{Seed: 5, Requests: 300, Entries: 2, Agents: 10, DisconnectAfter: 20 * time.Millisecond}
	first, _ := RunCancel(options)
	second, _ := RunCancel(options)
	if !reflect.DeepEqual(first, second) || first.MessageCounts["caller to entry: closed call"] != 300 {
		t.Errorf("first result %+v, second result %+v, want equal ones with 300 closed calls", first, second)
	}
}
