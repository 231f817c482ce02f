package capacity

import (
	"math"
	"testing"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/entry"
)

// Guards against a wrong slope or standard error, which would make every
// measurement wrong. The points lie 1 above or below y = 3 + 2x in a pattern that
// does not change the slope.
func TestFitLine(t *testing.T) {
	fit := FitLine([]Point{{1, 6}, {2, 6}, {3, 8}, {4, 12}})
	if math.Abs(fit.Slope-2) > 1e-9 || math.Abs(fit.Intercept-3) > 1e-9 {
		t.Errorf("slope %v, intercept %v", fit.Slope, fit.Intercept)
	}
	if want := math.Sqrt(4.0 / 2 / 5); math.Abs(fit.StandardError-want) > 1e-9 {
		t.Errorf("standard error %v, want %v", fit.StandardError, want)
	}
	if fit := FitLine([]Point{{1, 1}, {2, 2}}); !math.IsInf(fit.StandardError, 1) {
		t.Errorf("standard error of two points is %v, want +Inf", fit.StandardError)
	}
}

// Guards against a harness whose jobs are refused, so that it measures an entry
// that does no work.
func TestEntryHarnessAnswersEveryJob(t *testing.T) {
	h := newEntryHarness(3)
	if err := h.run(5, 7); err != nil {
		t.Fatal(err)
	}
	if h.core.ActiveJobs() != 0 || h.logOffset == 0 {
		t.Errorf("%d jobs are active, want 0; %d claim records, want at least 1", h.core.ActiveJobs(), h.logOffset)
	}
}

// Guards against measuring an agent that holds fewer or more results than the
// harness intends: without release it must hold them, and after releaseAll none.
func TestAgentHarnessHoldsAndReleasesResults(t *testing.T) {
	h := newAgentHarness(dispatchingEntries)
	if err := h.run(10, false); err != nil {
		t.Fatal(err)
	}
	if h.core.Drained() {
		t.Error("the agent holds no result")
	}
	h = newAgentHarness(dispatchingEntries)
	err := h.run(10, true)
	if h.releaseAll(); err != nil || !h.core.Drained() || h.core.Dump().ResultBytes != 0 {
		t.Errorf("%d bytes of results after the retention, error %v", h.core.Dump().ResultBytes, err)
	}
}

// Guards against a message type of the protocol without a case in messageCases. A new
// type needs one, and the number here.
func TestEveryMessageTypeIsMeasured(t *testing.T) {
	measured := make(map[string]bool)
	for _, messageCase := range messageCases {
		measured[wire.KindName(messageCase.build(1))] = true
	}
	if len(measured) != 14 {
		t.Errorf("%d of 14 message types: %v", len(measured), measured)
	}
}

// Guards against a traffic simulation that depends on anything but its seed.
func TestTrafficIsDeterministic(t *testing.T) {
	first, bytes, err := agentTraffic(2, 30)
	again, bytesAgain, errAgain := agentTraffic(2, 30)
	if err != nil || errAgain != nil || first != again || bytes != bytesAgain {
		t.Errorf("%v messages of %v bytes, then %v of %v; errors %v, %v", first, bytes, again, bytesAgain, err, errAgain)
	}
}

// Guards against a measurement that opens more connections in one process than the
// limits of the machine allow.
func TestConnectionsAreBounded(t *testing.T) {
	if _, err := openLoopback(t.TempDir(), MaxConnections+1, noRelay); err == nil {
		t.Errorf("%d connections were opened, limit %d", MaxConnections+1, MaxConnections)
	}
}

// Guards against dispatches to a crashed agent after AgentSilenceTimeout, and
// against tasks on it that do not end with an unknown outcome.
func TestAgentLossIsDetected(t *testing.T) {
	l, err := runAgentLoss(3)
	if err != nil {
		t.Fatal(err)
	}
	if l.lastDispatch > entry.AgentSilenceTimeout || l.unknownOutcomes < l.dispatchedToCrashed {
		t.Errorf("last dispatch after %v, %d dispatched, %d unknown", l.lastDispatch, l.dispatchedToCrashed, l.unknownOutcomes)
	}
}
