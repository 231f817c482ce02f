package intake

import (
	"net/netip"
	"testing"
	"time"
)

var (
	testStart = time.Unix(1000, 0)
	addressA  = netip.MustParseAddr("10.0.0.1")
	addressB  = netip.MustParseAddr("10.0.0.2")
)

// request returns a request that started some time before testStart and has received all that it
// holds.
func request(address netip.Addr, age time.Duration, held int64) usage {
	return usage{address: address, started: testStart.Add(-age), held: held, arrived: held}
}

// Guards against a slow request that keeps its room, a client that keeps room by the number of its
// requests, and an ordinary request that gives way to a larger or slower one.
func TestChooseVictim(t *testing.T) {
	const kb = 1 << 10
	cases := map[string]struct {
		newcomer usage
		others   []usage
		want     int
	}{
		"the slowest": {request(addressA, 0, kb), []usage{request(addressA, time.Second, kb), request(addressA, 3*time.Second, kb)}, 1},
		"a slow one before a fast larger one": {request(addressA, 0, kb),
			[]usage{request(addressA, 10*time.Millisecond, 900*kb), request(addressA, time.Second, kb)}, 1},
		"the address with most slow bytes": {request(addressA, 0, kb),
			[]usage{request(addressB, time.Second, 10*kb), request(addressB, time.Second, 10*kb), request(addressA, 2*time.Second, 15*kb)}, 0},
		"a slow newcomer itself": {request(addressA, 9*time.Second, kb), []usage{request(addressA, time.Second, kb)}, -1},
		"the largest of the heaviest address": {request(addressA, 0, kb),
			[]usage{request(addressA, 0, 5*kb), request(addressB, 0, 4*kb), request(addressB, 0, 3*kb)}, 1},
		"a large newcomer among equals":   {request(addressA, 0, 5*kb), []usage{request(addressB, 0, 5*kb)}, -1},
		"a slow newcomer among fast ones": {request(addressA, time.Second, kb), []usage{request(addressB, 0, 500*kb)}, -1},
		"nobody else":                     {request(addressA, 0, kb), nil, -1},
	}
	for name, c := range cases {
		if got := chooseVictim(testStart, c.newcomer, c.others); got != c.want {
			t.Errorf("%s: request %d gives way, want %d", name, got, c.want)
		}
	}
}

// Guards against closing a connection whose request is being served, or an idle one of an ordinary
// client while a half-read one is open.
func TestChooseClosed(t *testing.T) {
	conn := func(address netip.Addr, p phase, age time.Duration) connView {
		return connView{address: address, phase: p, since: testStart.Add(-age), begun: true}
	}
	silent := func(age time.Duration) connView {
		return connView{address: addressA, phase: phaseHead, since: testStart.Add(-age)}
	}
	cases := map[string]struct {
		conns []connView
		want  int
	}{
		"half-read before idle":          {[]connView{conn(addressA, phaseIdle, time.Minute), conn(addressA, phaseHead, time.Second)}, 1},
		"body before idle":               {[]connView{conn(addressA, phaseIdle, time.Minute), conn(addressA, phaseBody, time.Second)}, 1},
		"idle before new":                {[]connView{conn(addressA, phaseHead, 0), conn(addressA, phaseIdle, time.Second)}, 1},
		"the longest idle":               {[]connView{conn(addressA, phaseIdle, time.Second), conn(addressA, phaseIdle, time.Minute)}, 1},
		"the address with most":          {[]connView{conn(addressA, phaseHead, time.Minute), conn(addressB, phaseHead, time.Second), conn(addressB, phaseBusy, 0)}, 1},
		"idle before one without a byte": {[]connView{silent(time.Minute), conn(addressA, phaseIdle, time.Second)}, 1},
		"the oldest without a byte":      {[]connView{silent(0), silent(time.Second)}, 1},
		"never one that leaves":          {[]connView{conn(addressA, phaseLeaving, time.Hour)}, -1},
		"never a busy one":               {[]connView{conn(addressA, phaseBusy, time.Hour)}, -1},
	}
	for name, c := range cases {
		if got := chooseClosed(testStart, c.conns); got != c.want {
			t.Errorf("%s: connection %d is closed, want %d", name, got, c.want)
		}
	}
}

// Guards against a budget that is exceeded, that refuses a single large request, and that never
// returns what an evicted request held.
func TestBudgetIsKept(t *testing.T) {
	b := newBudget(100)
	evicted := make(chan struct{})
	slow := b.open(testStart, addressA, func() { close(evicted) })
	if err := slow.grow(testStart, 150); err != nil {
		t.Fatalf("a single request over the budget: %v", err)
	}
	fast := b.open(testStart.Add(time.Second), addressB, func() {})
	grown := make(chan error)
	go func() { grown <- fast.grow(testStart.Add(time.Second), 50) }()
	<-evicted
	if !slow.wasEvicted() {
		t.Error("the slow request was not told")
	}
	slow.close()
	if err := <-grown; err != nil {
		t.Errorf("the fast request: %v", err)
	}
	if !fast.finish() {
		t.Error("the fast request was evicted")
	}
	late := b.open(testStart, addressA, func() {})
	if err := late.grow(testStart.Add(time.Second), 60); err != ErrNoRoom {
		t.Errorf("a request beside a complete one: %v, want ErrNoRoom", err)
	}
	fast.close()
	late.close()
	if b.used != 0 || b.leaving != 0 || len(b.charges) != 0 {
		t.Errorf("left %d bytes, %d leaving, %d requests", b.used, b.leaving, len(b.charges))
	}
}
