package capacity

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/peer"
	"github.com/azurerouter/azurerouter/connection/wire"
)

// acceptTimeout limits each wait for connections or messages to arrive.
const acceptTimeout = 20 * time.Second

// loopback holds connections of this process to itself over the loopback interface.
type loopback struct {
	listener         *peer.Listener
	identity         *peer.Identity
	stopServing      context.CancelFunc
	messagesReceived atomic.Int64
	configsReceived  atomic.Int64

	mu       sync.Mutex
	accepted []*peer.Conn
	dialled  []*peer.Conn
}

// Connected implements peer.Handler.
func (l *loopback) Connected(c *peer.Conn) error {
	if c.Peer.Role == wire.RoleAgent {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.accepted = append(l.accepted, c)
	}
	return nil
}

// Received implements peer.Handler.
func (l *loopback) Received(_ *peer.Conn, m wire.Message) {
	l.messagesReceived.Add(1)
	if _, ok := m.(*wire.Config); ok {
		l.configsReceived.Add(1)
	}
}

// Disconnected implements peer.Handler.
func (l *loopback) Disconnected(*peer.Conn, error) {}

// openLoopback opens n connections. relay returns the address to dial for one
// connection, given that of the listener.
func openLoopback(keyDir string, n int, relay func(string) (string, error)) (*loopback, error) {
	if n > MaxConnections {
		return nil, errors.Newf("%d connections exceed the limit of %d", n, MaxConnections)
	}
	identity, err := newIdentity(keyDir)
	if err != nil {
		return nil, err
	}
	l := &loopback{identity: identity}
	entryHello := func() wire.Hello { return wire.Hello{Role: wire.RoleEntry, Incarnation: 1, Name: "entry-1"} }
	if l.listener, err = peer.Listen("127.0.0.1:0", identity.TLS(), entryHello, l); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stopServing = cancel
	go l.listener.Serve(ctx) // returns on close
	for i := range n {
		addr, err := relay(l.listener.Addr())
		if err != nil {
			l.close()
			return nil, err
		}
		if err := l.dial(addr, i); err != nil {
			l.close()
			return nil, err
		}
	}
	for deadline := time.Now().Add(acceptTimeout); l.acceptedCount() < n; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			l.close()
			return nil, errors.Newf("%d of %d connections accepted", l.acceptedCount(), n)
		}
	}
	return l, nil
}

// noRelay connects directly to the listener.
func noRelay(addr string) (string, error) { return addr, nil }

// newIdentity writes a new authority, certificate and key to the directory and
// loads them.
func newIdentity(dir string) (*peer.Identity, error) {
	now := time.Now()
	authority, err := peer.NewAuthority(now)
	if err != nil {
		return nil, err
	}
	files := peer.KeyFiles{Authority: filepath.Join(dir, "authority.pem"), Certificate: filepath.Join(dir, "own.pem"), Key: filepath.Join(dir, "own.key")}
	if err := authority.WriteAuthority(files.Authority, filepath.Join(dir, "authority.key")); err != nil {
		return nil, err
	}
	if err := authority.Issue(files, "capacity", now, now.Add(time.Hour)); err != nil {
		return nil, err
	}
	return peer.LoadIdentity(files)
}

func (l *loopback) dial(addr string, i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	c, err := peer.Dial(ctx, addr, l.identity.TLS(), wire.Hello{Role: wire.RoleAgent, Incarnation: agentID(i), Name: fmt.Sprint("agent-", i)}, l)
	if err == nil {
		l.dialled = append(l.dialled, c)
	}
	return err
}

func (l *loopback) acceptedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accepted)
}

func (l *loopback) close() {
	for _, c := range l.dialled {
		c.Close()
	}
	l.stopServing()
	l.listener.Close()
}

// sendHeartbeats sends heartbeats in both directions for a period of real time, as
// idle processes do.
func (l *loopback) sendHeartbeats(duration time.Duration) error {
	const interval = 500 * time.Millisecond
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		for i := range l.dialled {
			if err := errors.CombineErrors(l.dialled[i].Send(&wire.Heartbeat{ConfigOffset: 1}), l.accepted[i].Send(&wire.Heartbeat{ConfigOffset: 1})); err != nil {
				return err
			}
		}
	}
	return nil
}

// sendDispatches sends dispatches of one task over all connections in turn, at a
// total rate per second, and waits until all are received.
func (l *loopback) sendDispatches(rate int, duration time.Duration) error {
	const interval = 10 * time.Millisecond
	m := newDispatch(1, payload)
	total := int64(float64(rate) * duration.Seconds())
	started, sent := time.Now(), int64(0)
	for sent < total {
		due := min(total, int64(time.Since(started).Seconds()*float64(rate)))
		for ; sent < due; sent++ {
			if err := l.accepted[sent%int64(len(l.accepted))].Send(m); err != nil {
				return err
			}
		}
		time.Sleep(interval)
	}
	for deadline := time.Now().Add(acceptTimeout); l.messagesReceived.Load() < total; time.Sleep(interval) {
		if time.Now().After(deadline) {
			return errors.Newf("%d of %d messages received", l.messagesReceived.Load(), total)
		}
	}
	return nil
}

func measureQUIC(o Options) ([]Measurement, error) {
	memory := Measurement{Name: "quic: heap and stacks, both ends", Unit: "B", Per: "connection"}
	idle := Measurement{Name: "quic: processor time per idle second, both ends", Unit: "µs", Per: "connection"}
	handshake := Measurement{Name: "quic: processor time of handshakes, both ends", Unit: "µs", Per: "connection"}
	for _, n := range o.repeatSizes(o.Connections) {
		before, used := liveBytes(), cpuTime()
		l, err := openLoopback(o.KeyDir, n, noRelay)
		if err != nil {
			return nil, err
		}
		handshake.Points = append(handshake.Points, Point{float64(n), (cpuTime() - used).Seconds() * 1e6})
		if err := l.sendHeartbeats(time.Second); err != nil { // until the buffers have their usual size
			return nil, err
		}
		memory.Points = append(memory.Points, Point{float64(n), liveBytes() - before})
		started := time.Now()
		used = cpuTime()
		if err := l.sendHeartbeats(o.ObserveDuration); err != nil {
			return nil, err
		}
		idle.Points = append(idle.Points, Point{float64(n), (cpuTime() - used).Seconds() * 1e6 / time.Since(started).Seconds()})
		l.close()
		time.Sleep(closeDelay)
	}
	messageTime, err := measureMessageTime(o)
	if err != nil {
		return nil, err
	}
	packets, err := measureIdlePackets(o)
	return append([]Measurement{memory, idle, handshake, messageTime}, packets...), err
}

// mtuProbeWait is longer than the handshake and the path MTU discovery.
const mtuProbeWait = 3 * time.Second

// measurePush measures the real time from the start of a push of a configuration
// of 42 files until every connection has received it.
func measurePush(o Options) ([]Measurement, error) {
	const pushes = 5
	f := Measurement{Name: "push: real time until 42 files are received", Unit: "µs", Per: "connection"}
	m := &wire.Config{Offset: 1}
	for _, file := range configFolder(41) {
		m.Files = append(m.Files, wire.ConfigFile{Name: file.Name, Version: file.Version, Content: file.Content})
	}
	for _, n := range o.Connections {
		l, err := openLoopback(o.KeyDir, n, noRelay)
		if err != nil {
			return nil, err
		}
		if err := l.sendHeartbeats(time.Second); err != nil {
			return nil, err
		}
		for range max(o.RunsPerSize, pushes) {
			took, err := l.pushConfig(m)
			if err != nil {
				return nil, err
			}
			f.Points = append(f.Points, Point{float64(n), took.Seconds() * 1e6})
		}
		l.close()
		time.Sleep(closeDelay)
	}
	return []Measurement{f}, nil
}

// pushConfig sends a configuration on every connection and waits until all have
// received it. It returns the time that this took.
func (l *loopback) pushConfig(m *wire.Config) (time.Duration, error) {
	l.configsReceived.Store(0)
	started := time.Now()
	for _, c := range l.accepted {
		if err := c.Send(m); err != nil {
			return 0, err
		}
	}
	for l.configsReceived.Load() < int64(len(l.accepted)) {
		if time.Since(started) > acceptTimeout {
			return 0, errors.Newf("%d of %d connections received the configuration", l.configsReceived.Load(), len(l.accepted))
		}
		time.Sleep(100 * time.Microsecond)
	}
	return time.Since(started), nil
}

// closeDelay is the time for closed connections to release their buffers.
const closeDelay = time.Second

// measureMessageTime measures the processor time of dispatches of one task at
// several rates over 100 connections.
func measureMessageTime(o Options) (Measurement, error) {
	f := Measurement{Name: "quic: processor time per second, 100 connections", Unit: "µs", Per: "message/s"}
	for _, rate := range o.repeatSizes([]int{500, 1000, 2000, 4000}) {
		l, err := openLoopback(o.KeyDir, 100, noRelay)
		if err != nil {
			return f, err
		}
		used, duration := cpuTime(), min(o.ObserveDuration, 3*time.Second)
		if err := l.sendDispatches(rate, duration); err != nil {
			return f, err
		}
		f.Points = append(f.Points, Point{float64(rate), (cpuTime() - used).Seconds() * 1e6 / duration.Seconds()})
		l.close()
		time.Sleep(closeDelay)
	}
	return f, nil
}

// ipUDPHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
const ipUDPHeaderBytes = 28

// measureIdlePackets counts the datagrams of idle connections, and their bytes with
// IP and UDP headers.
func measureIdlePackets(o Options) ([]Measurement, error) {
	packets := Measurement{Name: "quic: datagrams per idle second, both directions", Unit: "1/s", Per: "connection"}
	sizes := Measurement{Name: "quic: bytes with IP headers per idle second", Unit: "B/s", Per: "connection"}
	for _, n := range []int{5, 10, 20, 40} {
		counter := &packetCounter{}
		l, err := openLoopback(o.KeyDir, n, counter.relayTo)
		if err != nil {
			return nil, err
		}
		// Path MTU discovery ends before the count begins.
		if err := l.sendHeartbeats(mtuProbeWait); err != nil {
			return nil, err
		}
		started, sent, bytes := time.Now(), counter.packets.Load(), counter.bytes.Load()
		if err := l.sendHeartbeats(o.ObserveDuration); err != nil {
			return nil, err
		}
		took := time.Since(started).Seconds()
		packets.Points = append(packets.Points, Point{float64(n), float64(counter.packets.Load()-sent) / took})
		sizes.Points = append(sizes.Points, Point{float64(n), float64(counter.bytes.Load()-bytes) / took})
		l.close()
		counter.close()
	}
	messageBytes, err := measureMessagePackets(o)
	return []Measurement{packets, sizes, messageBytes}, err
}

// measureMessagePackets counts the bytes, with IP and UDP headers, of dispatches of
// one task at several rates over 20 connections.
func measureMessagePackets(o Options) (Measurement, error) {
	const connections = 20
	frame, err := wire.Append(nil, newDispatch(1, payload))
	f := Measurement{Name: "quic: bytes with IP headers per second", Unit: "B/s",
		Per: fmt.Sprintf("message/s of %d bytes", len(frame))}
	for _, rate := range []int{100, 200, 400, 800} {
		counter := &packetCounter{}
		l, openErr := openLoopback(o.KeyDir, connections, counter.relayTo)
		if err = errors.CombineErrors(err, openErr); err != nil {
			return f, err
		}
		if err := l.sendHeartbeats(mtuProbeWait); err != nil {
			return f, err
		}
		l.messagesReceived.Store(0)
		started, bytes := time.Now(), counter.bytes.Load()
		if err := l.sendDispatches(rate, o.ObserveDuration); err != nil {
			return f, err
		}
		f.Points = append(f.Points, Point{float64(rate), float64(counter.bytes.Load()-bytes) / time.Since(started).Seconds()})
		l.close()
		counter.close()
	}
	return f, nil
}

// packetCounter relays UDP datagrams and counts them and their bytes in both
// directions.
type packetCounter struct {
	packets, bytes atomic.Int64
	sockets        []*net.UDPConn
}

// relayTo opens a relay to addr for one connection and returns its address.
func (c *packetCounter) relayTo(addr string) (string, error) {
	remote, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return "", err
	}
	clientSide, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	serverSide, err := net.DialUDP("udp", nil, remote)
	if err != nil {
		clientSide.Close()
		return "", err
	}
	c.sockets = append(c.sockets, clientSide, serverSide)
	var client atomic.Pointer[net.UDPAddr]
	go c.forward(func(b []byte) (int, error) {
		n, from, err := clientSide.ReadFromUDP(b)
		client.Store(from)
		return n, err
	}, serverSide.Write)
	go c.forward(serverSide.Read, func(b []byte) (int, error) { return clientSide.WriteToUDP(b, client.Load()) })
	return clientSide.LocalAddr().String(), nil
}

// forward copies and counts datagrams until a socket is closed.
func (c *packetCounter) forward(read, write func([]byte) (int, error)) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := read(buffer)
		if err != nil {
			return
		}
		c.packets.Add(1)
		c.bytes.Add(int64(n + ipUDPHeaderBytes))
		if _, err := write(buffer[:n]); err != nil {
			return
		}
	}
}

func (c *packetCounter) close() {
	for _, s := range c.sockets {
		s.Close()
	}
}
