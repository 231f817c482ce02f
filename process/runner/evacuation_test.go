package runner_test

import (
	"testing"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/version/evacuation"
)

// Guards against a start in an evacuated zone because the order was under way, against a
// held run that an evacuation ends, and against an older state that opens the target again.
func TestAgentInAnEvacuatedZoneStartsNothing(t *testing.T) {
	h := newHarness(t)
	held := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictDone)
	h.core.HandleEvacuation(evacuation.State{Offset: 3, Zones: []string{"a", "b"}})
	h.core.HandleEvacuation(evacuation.State{Offset: 2})
	refused := h.sendStartOrder(1)
	if report, _ := h.lastReportOf(refused); report.RefusalReason != wire.RefusedClosed || len(h.starts) != 1 {
		t.Errorf("report %+v and %d starts, expected a refusal and 1", report, len(h.starts))
	}
	if report, found := h.lastReportOf(held); found || len(h.stops) != 0 {
		t.Errorf("the held run was stopped or reported: %+v, %d stops", report, len(h.stops))
	}
	h.core.HandleEvacuation(evacuation.State{Offset: 4, Zones: []string{"b"}})
	h.sendStartOrder(2)
	if len(h.starts) != 2 {
		t.Errorf("%d starts after the zone was taken back, expected 2", len(h.starts))
	}
}
