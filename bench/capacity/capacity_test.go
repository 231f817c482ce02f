package capacity

import (
	"math"
	"testing"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/entry"
)

// Guards against a wrong slope or error, on which every figure rests. The points
// lie 1 above and below y = 3 + 2x in a pattern that leaves the slope as it is.
func TestLine(t *testing.T) {
	fit := Line([]Point{{1, 6}, {2, 6}, {3, 8}, {4, 12}})
	if math.Abs(fit.Slope-2) > 1e-9 || math.Abs(fit.Intercept-3) > 1e-9 {
		t.Errorf("slope %v, intercept %v", fit.Slope, fit.Intercept)
	}
	if want := math.Sqrt(4.0 / 2 / 5); math.Abs(fit.Error-want) > 1e-9 {
		t.Errorf("error %v, want %v", fit.Error, want)
	}
	if fit := Line([]Point{{1, 1}, {2, 2}}); !math.IsInf(fit.Error, 1) {
		t.Errorf("two points give an error of %v", fit.Error)
	}
}

// Guards against a rig that is refused and so measures an entry that does
// nothing.
func TestEntryRigAnswersEveryJob(t *testing.T) {
	r := newEntryRig(3)
	if err := r.run(5, 7); err != nil {
		t.Fatal(err)
	}
	if r.core.ActiveJobs() != 0 || r.offset == 0 {
		t.Errorf("%d jobs active, %d claim records", r.core.ActiveJobs(), r.offset)
	}
}

// Guards against results that are released although they are to be held, and the
// other way round.
func TestAgentRigHoldsAndSettles(t *testing.T) {
	r := newAgentRig(senderEntries)
	if err := r.run(10, false); err != nil {
		t.Fatal(err)
	}
	if r.core.Drained() {
		t.Error("no result is held")
	}
	r = newAgentRig(senderEntries)
	err := r.run(10, true)
	if r.settle(); err != nil || !r.core.Drained() || r.core.Dump().ResultBytes != 0 {
		t.Errorf("%d bytes of results after the retention, error %v", r.core.Dump().ResultBytes, err)
	}
}

// Guards against a message type that is added to the protocol without a figure.
func TestEveryMessageIsMeasured(t *testing.T) {
	measured := make(map[string]bool)
	for _, form := range messageForms {
		measured[wire.KindName(form.build(1))] = true
	}
	if len(measured) != 14 {
		t.Errorf("%d of 14 message types: %v", len(measured), measured)
	}
}

// Guards against traffic that depends on more than its seed.
func TestTrafficRepeats(t *testing.T) {
	first, bytes, err := perSecond(2, 30)
	again, bytesAgain, errAgain := perSecond(2, 30)
	if err != nil || errAgain != nil || first != again || bytes != bytesAgain {
		t.Errorf("%v messages of %v bytes, then %v of %v; errors %v, %v", first, bytes, again, bytesAgain, err, errAgain)
	}
}

// Guards against more connections in one process than the machine's limit allows.
func TestConnectionsAreBounded(t *testing.T) {
	if _, err := openLinks(t.TempDir(), MaxConnections+1, direct); err == nil {
		t.Error("no error")
	}
}

// Guards against dispatches to a dead agent after the silence that ends them, and
// against tasks that it takes along without an unknown outcome.
func TestLossIsNoticed(t *testing.T) {
	l, err := runLoss(3)
	if err != nil {
		t.Fatal(err)
	}
	if l.last > entry.AgentSilence || l.unknown < l.dispatched {
		t.Errorf("last dispatch after %v, %d dispatched, %d unknown", l.last, l.dispatched, l.unknown)
	}
}
