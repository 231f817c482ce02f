package runner_test

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/runner"
	"github.com/azurerouter/azurerouter/request/batch"
)

// oddOrders returns messages that no entry of this version sends.
func oddOrders() []*wire.Orders {
	run := batch.Run{Task: batch.Task{Job: "j", Step: -1, Index: -1}, Number: math.MinInt}
	start := wire.StartOrder{Job: "j", Target: targetID, Step: -1, Occurrence: -1, EstimateMS: math.MaxInt64, SlackMS: math.MinInt64,
		Demand: batch.Resources{MilliCPU: math.MinInt, MemoryMiB: math.MaxInt}, Tasks: []wire.StartTask{{Index: -1, RunNumber: -1}, {Index: -1, RunNumber: -1}}}
	return []*wire.Orders{
		{}, {Sequence: math.MaxUint64, ClockEcho: math.MaxInt64, IdleRenewMS: math.MaxInt64}, {ClockEcho: math.MinInt64, IdleRenewMS: math.MinInt64},
		{Stops: []batch.Run{run, {}, run}, RecordedEnds: []batch.Run{run, run}, VoidEnds: []batch.Run{run}},
		{Starts: []wire.StartOrder{start, {}, start}, ClockEcho: 1_000_000_000}, {Waiting: &wire.Waiting{SlackMS: math.MaxInt64}},
		{Waiting: &wire.Waiting{SlackMS: math.MinInt64, Smallest: batch.Resources{MilliCPU: -1}}, Starts: []wire.StartOrder{start}},
	}
}

// handleOrders passes a message to an agent with one run and lets time pass.
func handleOrders(t *testing.T, m *wire.Orders) {
	h := newHarness(t)
	run := h.sendStartOrder(0)
	h.answerLastStart(runner.VerdictDone)
	h.core.HandleMessage(entryID, m)
	for range 3 {
		h.advance(100 * time.Millisecond)
		h.core.Tick()
		h.completeHold(1, []batch.Run{run}, nil)
	}
	h.core.Disconnected(entryID)
	h.core.Connected(entryID)
}

// Guards against a message that ends the agent which receives it.
func TestOddOrdersAreHandledWithoutHarm(t *testing.T) {
	for _, m := range oddOrders() {
		handleOrders(t, m)
	}
}

// Guards against the same for any message that can be decoded.
func FuzzOrders(f *testing.F) {
	for _, m := range oddOrders() {
		frame, err := wire.Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := wire.Read(bytes.NewReader(frame))
		if orders, ok := m.(*wire.Orders); ok && err == nil {
			handleOrders(t, orders)
		}
	})
}
