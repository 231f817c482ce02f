package peer

import (
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// relay forwards UDP packets between clients of its own address and a server. While
// it is partitioned, it holds back the packets of both directions.
type relay struct {
	clientConn, serverConn *net.UDPConn

	mu          sync.Mutex
	client      net.Addr
	partitioned bool
	heldPackets []func()
}

func newRelay(t *testing.T, server string) *relay {
	t.Helper()
	clientConn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	addr, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	serverConn, err := net.DialUDP("udp", nil, addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { clientConn.Close(); serverConn.Close() })
	r := &relay{clientConn: clientConn, serverConn: serverConn}
	go r.forwardToServer()
	go r.forwardToClient()
	return r
}

func (r *relay) forwardToServer() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := r.clientConn.ReadFrom(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.client = from
		r.mu.Unlock()
		packet := slices.Clone(buffer[:n])
		r.sendOrHold(func() { r.serverConn.Write(packet) })
	}
}

func (r *relay) forwardToClient() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := r.serverConn.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		client := r.client
		r.mu.Unlock()
		packet := slices.Clone(buffer[:n])
		r.sendOrHold(func() { r.clientConn.WriteTo(packet, client) })
	}
}

func (r *relay) sendOrHold(send func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitioned {
		r.heldPackets = append(r.heldPackets, send)
		return
	}
	send()
}

// setPartitioned interrupts or restores the connection. Packets held back until
// then are delivered first.
func (r *relay) setPartitioned(partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, send := range r.heldPackets {
		send()
	}
	r.heldPackets = nil
	r.partitioned = partitioned
}

// Guards against an agent that is partitioned from its entry and, when the
// partition ends, receives work that was sent to it during the partition (G6).
func TestSilentPeerIsDisconnectedAndReceivesNothingLater(t *testing.T) {
	id := newIdentity(t, newTestAuthority(t), tomorrow())
	entryEvents, agentEvents := newRecordingHandler(), newRecordingHandler()
	r := newRelay(t, listen(t, id.TLS(), entryEvents).Addr())
	relayAddr := r.clientConn.LocalAddr().String()
	agentSide := mustDial(t, relayAddr, id.TLS(), "agent", agentEvents)
	entryEvents.requireEvent(t, "connected agent")
	entrySide := entryEvents.conn(0)
	entrySide.Send(numberedMessage(1, 0))
	agentSide.Send(numberedMessage(2, 0))
	agentEvents.requireEvent(t, "1 from entry")
	entryEvents.requireEvent(t, "2 from agent")

	r.setPartitioned(true)
	partitionedAt := time.Now()
	entrySide.Send(numberedMessage(3, 0))
	agentSide.Send(numberedMessage(4, 0))
	if !entryEvents.waitForEvent("disconnected agent", eventTimeout) || !agentEvents.waitForEvent("disconnected entry", eventTimeout) {
		t.Error("a silent peer was not disconnected")
	}
	t.Logf("both sides were disconnected %v after the partition began", time.Since(partitionedAt))
	r.setPartitioned(false)

	// The packets that were held back precede the handshake of this connection, so
	// they have been handled when its first message arrives.
	second := mustDial(t, relayAddr, id.TLS(), "second", agentEvents)
	second.Send(numberedMessage(5, 0))
	entryEvents.requireEvent(t, "5 from second")
	entryEvents.conn(1).Send(numberedMessage(6, 0))
	agentEvents.requireEvent(t, "6 from entry")
	if got := entryEvents.recordedEvents(); !slices.Equal(got, []string{"connected agent", "2 from agent", "disconnected agent",
		"connected second", "5 from second"}) {
		t.Errorf("events at the entry: %q", got)
	}
	if got := agentEvents.recordedEvents(); !slices.Equal(got, []string{"connected entry", "1 from entry", "disconnected entry",
		"connected entry", "6 from entry"}) {
		t.Errorf("events at the agent: %q", got)
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
