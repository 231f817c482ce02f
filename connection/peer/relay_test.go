package peer

import (
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// relay forwards UDP packets between one address and a server. While it is
// cut, it holds the packets of both directions back.
type relay struct {
	front, back *net.UDPConn

	mu     sync.Mutex
	client net.Addr
	cut    bool
	held   []func()
}

func newRelay(t *testing.T, server string) *relay {
	t.Helper()
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	addr, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	back, err := net.DialUDP("udp", nil, addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { front.Close(); back.Close() })
	r := &relay{front: front, back: back}
	go r.forwardToServer()
	go r.forwardToClient()
	return r
}

func (r *relay) forwardToServer() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := r.front.ReadFrom(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.client = from
		r.mu.Unlock()
		packet := slices.Clone(buffer[:n])
		r.pass(func() { r.back.Write(packet) })
	}
}

func (r *relay) forwardToClient() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := r.back.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		client := r.client
		r.mu.Unlock()
		packet := slices.Clone(buffer[:n])
		r.pass(func() { r.front.WriteTo(packet, client) })
	}
}

func (r *relay) pass(send func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		r.held = append(r.held, send)
		return
	}
	send()
}

// setCut cuts the connection, or heals it and first delivers everything that
// was held back.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, send := range r.held {
		send()
	}
	r.held = nil
	r.cut = cut
}

// Guards against an agent that is partitioned from its entry and receives,
// when the network heals, work that was sent to it meanwhile (G6).
func TestSilentPeerIsDroppedAndReceivesNothingLater(t *testing.T) {
	id := identity(t, newTestAuthority(t), tomorrow())
	atEntry, atAgent := newRecorder(), newRecorder()
	r := newRelay(t, listen(t, id.TLS(), atEntry).Addr())
	front := r.front.LocalAddr().String()
	agentSide := mustDial(t, front, id.TLS(), "agent", atAgent)
	atEntry.mustSee(t, "connected agent")
	entrySide := atEntry.conn(0)
	entrySide.Send(numbered(1, 0))
	agentSide.Send(numbered(2, 0))
	atAgent.mustSee(t, "1 from entry")
	atEntry.mustSee(t, "2 from agent")

	r.setCut(true)
	cutAt := time.Now()
	entrySide.Send(numbered(3, 0))
	agentSide.Send(numbered(4, 0))
	if !atEntry.wait("disconnected agent", patience) || !atAgent.wait("disconnected entry", patience) {
		t.Error("a silent peer was not dropped")
	}
	t.Logf("both sides were disconnected %v after the cut", time.Since(cutAt))
	r.setCut(false)

	// The held packets precede the handshake of this connection, so whatever
	// they bring about has happened when its first message arrives.
	second := mustDial(t, front, id.TLS(), "second", atAgent)
	second.Send(numbered(5, 0))
	atEntry.mustSee(t, "5 from second")
	atEntry.conn(1).Send(numbered(6, 0))
	atAgent.mustSee(t, "6 from entry")
	if got := atEntry.all(); !slices.Equal(got, []string{"connected agent", "2 from agent", "disconnected agent",
		"connected second", "5 from second"}) {
		t.Errorf("the entry saw %q", got)
	}
	if got := atAgent.all(); !slices.Equal(got, []string{"connected entry", "1 from entry", "disconnected entry",
		"connected entry", "6 from entry"}) {
		t.Errorf("the agent saw %q", got)
	}
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	data, err := os.ReadFile(from)
	if err == nil {
		err = os.WriteFile(to, data, secretFileMode)
	}
	if err != nil {
		t.Fatal(err)
	}
}
