package locality

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Guards against a wait that does not pay, and against a start elsewhere just before the
// rack of the data becomes free. The local target saves 100 ms.
func TestBreakEven(t *testing.T) {
	base := Input{Local: Estimate{200 * ms, 0}, Remote: Estimate{300 * ms, 0}, Known: true, Objective: time.Second, Deadline: time.Second, LatestStart: time.Second}
	cases := []struct {
		name string
		edit func(*Input)
		want Decision
	}{
		{"free now", func(*Input) {}, Decision{true, 100 * ms, Gain}},
		{"just before", func(in *Input) { in.LocalFree.Expected = 99 * ms }, Decision{true, 100 * ms, Gain}},
		{"at break-even", func(in *Input) { in.LocalFree.Expected = 100 * ms }, Decision{Reason: NoGain}},
		{"error of the end", func(in *Input) { in.LocalFree = Estimate{80 * ms, 50 * ms} }, Decision{true, 100 * ms, Gain}},
		{"unknown", func(in *Input) { in.Known = false }, Decision{Reason: NoLocal}},
		{"slow local target", func(in *Input) { in.Local.Expected = 300 * ms }, Decision{Reason: NoGain}},
		{"waited for part", func(in *Input) { in.Waited, in.LocalFree.Expected = 60*ms, 40*ms }, Decision{true, 40 * ms, Gain}},
		{"waited for the rest", func(in *Input) { in.Waited, in.LocalFree.Expected = 60*ms, 41*ms }, Decision{Reason: Waited}},
		{"objective bounds", func(in *Input) { in.Objective, in.LocalFree.Expected = 330*ms, 30*ms }, Decision{true, 30 * ms, Gain}},
		{"objective forbids", func(in *Input) { in.Objective, in.LocalFree.Expected = 330*ms, 31*ms }, Decision{Reason: Objective}},
		{"errors use up half", func(in *Input) { in.Objective, in.Remote.Error, in.LocalFree.Expected = 330*ms, 20*ms, 15*ms }, Decision{true, 15 * ms, Gain}},
		{"errors leave time", func(in *Input) { in.Objective, in.Remote.Error, in.LocalFree.Expected = 390*ms, 20*ms, 70*ms }, Decision{true, 70 * ms, Gain}},
		{"only local in time", func(in *Input) { in.Objective, in.LocalFree.Expected = 260*ms, 50*ms }, Decision{true, 60 * ms, Gain}},
		{"latest start", func(in *Input) { in.LatestStart, in.LocalFree.Expected = 30*ms, 31*ms }, Decision{Reason: Objective}},
		{"too late anywhere", func(in *Input) { in.Objective = 200 * ms }, Decision{Reason: Objective}},
		{"deadline counts errors", func(in *Input) { in.Deadline, in.Remote.Error, in.LocalFree.Expected = 450*ms, 120*ms, 31*ms }, Decision{Reason: Deadline}},
	}
	for _, test := range cases {
		in := base
		test.edit(&in)
		if got := Decide(ByGain, in); got != test.want {
			t.Errorf("%s: %+v, expected %+v", test.name, got, test.want)
		}
	}
}

// Guards against a policy for comparison that ignores the error of the end.
func TestCertainGainCountsTheError(t *testing.T) {
	in := Input{Local: Estimate{200 * ms, 0}, Remote: Estimate{300 * ms, 0}, Known: true, Objective: time.Second, Deadline: time.Second, LatestStart: time.Second}
	for margin, waits := range map[time.Duration]bool{19 * ms: true, 20 * ms: false} {
		in.LocalFree = Estimate{80 * ms, margin}
		if d := Decide(ByCertainGain, in); d.Wait != waits {
			t.Errorf("error %v: %+v", margin, d)
		}
	}
}

// Guards against a wait that makes the expected end later, outlasts what the local target
// saves, or leaves no time to start elsewhere within the objective and the deadline.
func TestWaitNeverEndsLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-int64(time.Second), int64(3*time.Second)).Draw(t, name))
		}
		positive := func(name string) Estimate {
			return Estimate{duration(name).Abs(), duration(name+" error").Abs() / 4}
		}
		in := Input{Local: positive("local"), Remote: positive("remote"), LocalFree: positive("free"), Known: rapid.Bool().Draw(t, "known"),
			Waited: duration("waited").Abs() / 10, Objective: duration("objective"), Deadline: duration("deadline"), LatestStart: duration("latest start")}
		d := Decide(ByGain, in)
		if !d.Wait {
			return
		}
		if in.LocalFree.Expected+in.Local.Expected > in.Remote.Expected {
			t.Fatalf("%+v: waits, though it ends earlier elsewhere", in)
		}
		if !in.Known || d.For <= 0 || in.LocalFree.Expected > d.For || d.For > in.LatestStart || d.For+in.Waited > in.Remote.Expected-in.Local.Expected {
			t.Fatalf("%+v: waits for %v", in, d.For)
		}
		if in.Remote.Expected <= in.Objective && d.For+in.Remote.Expected > in.Objective {
			t.Fatalf("%+v: after %v the objective can't be met elsewhere", in, d.For)
		}
		if in.LocalFree.Expected+in.Local.Expected > in.Objective || in.LocalFree.Expected+in.Local.latest() > in.Deadline {
			t.Fatalf("%+v: waits, though the objective or the deadline is missed", in)
		}
	})
}

// Guards against a forecast for runs that take longer than their error allows for, and
// against one in the past.
func TestRemaining(t *testing.T) {
	duration := Estimate{100 * ms, 40 * ms}
	cases := []struct {
		elapsed time.Duration
		want    Estimate
		ok      bool
	}{
		{0, duration, true},
		{60 * ms, Estimate{40 * ms, 40 * ms}, true},
		{100 * ms, Estimate{20 * ms, 20 * ms}, true},
		{139 * ms, Estimate{ms / 2, ms / 2}, true},
		{140 * ms, Estimate{}, false},
	}
	for _, test := range cases {
		if got, ok := Remaining(duration, test.elapsed); got != test.want || ok != test.ok {
			t.Errorf("after %v: %v %v, expected %v %v", test.elapsed, got, ok, test.want, test.ok)
		}
	}
}
