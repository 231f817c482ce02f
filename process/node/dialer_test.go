package node

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// entriesOf returns n entries.
func entriesOf(n int) []wire.EntryMember {
	var entries []wire.EntryMember
	for i := range n {
		entries = append(entries, wire.EntryMember{Name: fmt.Sprintf("entry-%d", i), Addr: fmt.Sprintf("10.0.0.%d:7720", i)})
	}
	return entries
}

// fakeNetwork keeps the connections of dialers open until they are released.
type fakeNetwork struct {
	mu    sync.Mutex
	open  map[string]bool
	down  map[string]bool
	wake  chan struct{}
	dials *dialer
}

func (n *fakeNetwork) connect(ctx context.Context, addr string) bool {
	n.mu.Lock()
	reached := !n.down[addr]
	if reached {
		n.open[addr] = true
	}
	n.mu.Unlock()
	n.wake <- struct{}{}
	if reached {
		n.dials.setReachable(addr, true)
		<-ctx.Done()
	}
	return reached
}

// await reads dials until done reports true.
func (n *fakeNetwork) await(done func() bool) {
	for {
		n.mu.Lock()
		ok := done()
		n.mu.Unlock()
		if ok {
			return
		}
		<-n.wake
	}
}

// Guards against connections, and what they cost, that increase with the number of
// entries, and against a process that keeps too few when entries are lost.
func TestConnectionsAreBoundedAndLostOnesReplaced(t *testing.T) {
	entries := entriesOf(55)
	network := &fakeNetwork{open: make(map[string]bool), down: make(map[string]bool), wake: make(chan struct{}, 10000)}
	for i := range 20 {
		network.down[entries[i].Addr] = true
	}
	d := newDialer("agent-1", "", nil, zerolog.Nop(), network.connect)
	network.dials = d
	ctx, cancel := context.WithCancel(t.Context())
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	d.add(entries)
	network.await(func() bool { return len(network.open) >= maxSelected })
	if got := len(network.open); got > maxSelected {
		t.Errorf("%d connections, want %d", got, maxSelected)
	}
	cancel()
	d.redialers.Wait()
}

// Guards against entries that are left out: every one has connections.
func TestEveryEntryIsSelectedBySomeProcess(t *testing.T) {
	entries := entriesOf(55)
	selections := make(map[string]int)
	for i := range 240 {
		d := newDialer(fmt.Sprintf("side-%d", i), "", nil, zerolog.Nop(), nil)
		for _, m := range entries {
			d.known[m.Addr] = m
		}
		for _, m := range entries {
			if selected, _ := d.isSelected(m.Addr); selected {
				selections[m.Addr]++
			}
		}
	}
	for _, m := range entries {
		if got := selections[m.Addr]; got < 35 || got > 140 {
			t.Errorf("%s is selected by %d of 240 processes, want about 70", m.Addr, got)
		}
	}
}

// Guards against an entry with an impossible address that is dialled, or told to others,
// for ever.
func TestImpossibleAddressesAreNotDialled(t *testing.T) {
	d := newDialer("self", "", nil, zerolog.Nop(), func(ctx context.Context, _ string) bool {
		<-ctx.Done()
		return true
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.run(ctx)
	}()
	defer func() { cancel(); <-ended }()
	good := wire.EntryMember{Name: "good", Addr: "10.1.0.13:7720"}
	odd := []wire.EntryMember{{Addr: ""}, {Addr: "10.1.0.13"}, {Addr: "10.1.0.13:99999"}, {Addr: "10.1.0.13:0"}, {Addr: ":7720"},
		{Addr: "10.1.0.13:-1"}, {Addr: strings.Repeat("[", 100_000)}, good}
	for d.add(odd); len(d.members()) == 0; d.add(odd) {
		time.Sleep(time.Millisecond)
	}
	if members := d.members(); len(members) != 1 || members[0] != good {
		t.Errorf("members %+v, expected %+v", members, good)
	}
}

// Guards against processes that dial an entry in step after it has started, and against
// pauses that leave it without connections for longer than 50 ms.
func TestPausesBetweenDialsAreShortAndDiffer(t *testing.T) {
	for _, test := range []struct {
		sinceReached, sinceDial time.Duration
		random                  float64
		want                    time.Duration
	}{
		{0, 0, 0, 20 * time.Millisecond},
		{time.Second, 5 * time.Millisecond, 0.5, 25 * time.Millisecond},
		{time.Second, 200 * time.Millisecond, 0.9, 0},
		{4 * time.Second, 0, 0, 125 * time.Millisecond},
		{4 * time.Second, 200 * time.Millisecond, 1, 250 * time.Millisecond},
	} {
		if got := redialPause(test.sinceReached, test.sinceDial, test.random); got != test.want {
			t.Errorf("%+v: pause %v", test, got)
		}
	}
}

// Guards against an entry that is reached late because nobody uses the word of another
// process that it has started.
func TestEntryIsDialledWhenItsStartIsTold(t *testing.T) {
	entries := entriesOf(1)
	network := &fakeNetwork{open: make(map[string]bool), down: map[string]bool{entries[0].Addr: true}, wake: make(chan struct{}, 10000)}
	d := newDialer("agent-1", "", nil, zerolog.Nop(), network.connect)
	network.dials = d
	d.ctx = t.Context()
	d.known[entries[0].Addr] = entries[0]
	d.started[entries[0].Addr] = make(chan struct{}, 1)
	d.noteStarted([]string{entries[0].Addr, "10.9.9.9:1"})
	if len(d.started[entries[0].Addr]) != 0 {
		t.Error("an entry that was not found unreachable is dialled again")
	}
	d.setReachable(entries[0].Addr, false)
	d.noteStarted([]string{entries[0].Addr, "10.9.9.9:1"})
	d.noteStarted([]string{entries[0].Addr})
	if len(d.started[entries[0].Addr]) != 1 {
		t.Error("an unreachable entry is not dialled after its start was told")
	}
}
