package runonce

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	limit        = flag.Int("runonce.limit", 100, "number of scenarios of each large space; 0 for all")
	first        = flag.Int("runonce.first", 0, "index of the first scenario in the order of play")
	index        = flag.Int("runonce.index", -1, "play only the scenario with this index and print what happens")
	failureLimit = flag.Int("runonce.failures", 3, "number of failing scenarios that are printed before a test ends")
)

// space is a set of scenarios that is numbered by an index.
type space struct {
	variants []scenario
	// starts are the times of the first fault, offsets those of each further one after the
	// one before.
	starts, offsets []time.Duration
	// kinds holds the kinds and durations of each of the faults.
	kinds [][]fault
}

// newSpace returns the scenarios of some variants with a number of faults each.
func newSpace(faultCount int, starts, offsets []time.Duration, variants ...scenario) *space {
	s := &space{variants: variants, starts: starts, offsets: offsets}
	for range faultCount {
		s.kinds = append(s.kinds, faultsNamed(namesOf(faultKinds())))
	}
	return s
}

// newSeries returns the scenarios with one fault after the other of the kinds that are
// named, separated by spaces.
func newSeries(starts, offsets []time.Duration, variants []scenario, names ...string) *space {
	s := &space{variants: variants, starts: starts, offsets: offsets}
	for _, n := range names {
		s.kinds = append(s.kinds, faultsNamed(n))
	}
	return s
}

// faultsNamed returns the kinds of faults that are named, with each duration.
func faultsNamed(names string) []fault {
	var faults []fault
	for _, k := range slices.Concat(faultKinds(), ownerFaultKinds(), starvationKinds(), []*faultKind{callerLeavesUnnoticed(), silence()}) {
		if !slices.Contains(strings.Fields(names), k.name) {
			continue
		}
		for _, d := range k.durations {
			faults = append(faults, fault{kind: k, duration: d})
		}
	}
	return faults
}

func namesOf(kinds []*faultKind) string {
	var names []string
	for _, k := range kinds {
		names = append(names, k.name)
	}
	return strings.Join(names, " ")
}

// size returns the number of scenarios, including those that are skipped.
func (s *space) size() int {
	n := len(s.variants) * len(s.starts)
	for i := range s.kinds {
		n *= len(s.kinds[i])
		if i > 0 {
			n *= len(s.offsets)
		}
	}
	return n
}

// at returns the scenario with an index. It returns false if a fault does not apply to its
// kind of job.
func (s *space) at(index int) (scenario, bool) {
	next := func(n int) int {
		digit := index % n
		index /= n
		return digit
	}
	result := s.variants[next(len(s.variants))]
	result.seed = uint64(index % 4)
	at := s.starts[next(len(s.starts))]
	for i := range s.kinds {
		if i > 0 {
			at += s.offsets[next(len(s.offsets))]
		}
		f := s.kinds[i][next(len(s.kinds[i]))]
		if result.durable && f.kind.nonDurableOnly || !result.durable && f.kind.durableOnly {
			return result, false
		}
		f.at = at
		result.faults = append(result.faults[:len(result.faults):len(result.faults)], f)
	}
	return result, true
}

// stridePrime is prime to the sizes of all spaces, so that its multiples visit all of their
// scenarios, and those played first are spread over the space.
const stridePrime = 15_485_863

// smallSpace is the size up to which a space is played as a whole.
const smallSpace = 150

// explore plays scenarios of the space and fails the test for those that break a rule.
func (s *space) explore(t *testing.T) {
	size := s.size()
	if *index >= 0 {
		s.playOne(t, *index)
		return
	}
	failures, played := 0, 0
	for i := *first; i < size && (*limit == 0 || size <= smallSpace || i < *first+*limit); i++ {
		n := int(uint64(i) * stridePrime % uint64(size))
		scenario, ok := s.at(n)
		if !ok {
			continue
		}
		played++
		if found, _ := play(t, scenario); len(found) > 0 {
			t.Errorf("-runonce.index=%d: %s\n\t%v", n, scenario, found)
			if failures++; failures >= *failureLimit {
				break
			}
		}
	}
	t.Logf("%d scenarios of %d played", played, size)
}

// playOne plays a scenario and prints what happens.
func (s *space) playOne(t *testing.T, n int) {
	scenario, _ := s.at(n)
	scenario.trace = true
	found, trace := play(t, scenario)
	fmt.Printf("%s\n%s\n", scenario, strings.Join(trace, "\n"))
	for _, v := range found {
		t.Errorf("%s: %s", v.rule, v.text)
	}
}

// grid returns the times from 0 to an end in equal steps.
func grid(end, step time.Duration) []time.Duration {
	var times []time.Duration
	for at := time.Duration(0); at <= end; at += step {
		times = append(times, at)
	}
	return times
}
