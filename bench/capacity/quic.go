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

// acceptTimeout bounds the wait for the connections of one measurement.
const acceptTimeout = 20 * time.Second

// links are connections of this process to itself over loopback.
type links struct {
	listener *peer.Listener
	identity *peer.Identity
	stop     context.CancelFunc
	received atomic.Int64
	configs  atomic.Int64

	mu       sync.Mutex
	accepted []*peer.Conn
	dialled  []*peer.Conn
}

// Connected implements peer.Handler.
func (l *links) Connected(c *peer.Conn) error {
	if c.Peer.Role == wire.RoleAgent {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.accepted = append(l.accepted, c)
	}
	return nil
}

// Received implements peer.Handler.
func (l *links) Received(_ *peer.Conn, m wire.Message) {
	l.received.Add(1)
	if _, ok := m.(*wire.Config); ok {
		l.configs.Add(1)
	}
}

// Disconnected implements peer.Handler.
func (l *links) Disconnected(*peer.Conn, error) {}

// openLinks listens, and dials the address that via returns n times.
func openLinks(keyDir string, n int, via func(string) (string, error)) (*links, error) {
	if n > MaxConnections {
		return nil, errors.Newf("%d connections exceed the limit of %d", n, MaxConnections)
	}
	identity, err := newIdentity(keyDir)
	if err != nil {
		return nil, err
	}
	l := &links{identity: identity}
	entryHello := func() wire.Hello { return wire.Hello{Role: wire.RoleEntry, Incarnation: 1, Name: "entry-1"} }
	if l.listener, err = peer.Listen("127.0.0.1:0", identity.TLS(), entryHello, l); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	go l.listener.Serve(ctx) // ends with close
	for i := range n {
		addr, err := via(l.listener.Addr())
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

func direct(addr string) (string, error) { return addr, nil }

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

func (l *links) dial(addr string, i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	c, err := peer.Dial(ctx, addr, l.identity.TLS(), wire.Hello{Role: wire.RoleAgent, Incarnation: agentID(i), Name: fmt.Sprint("agent-", i)}, l)
	if err == nil {
		l.dialled = append(l.dialled, c)
	}
	return err
}

func (l *links) acceptedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accepted)
}

func (l *links) close() {
	for _, c := range l.dialled {
		c.Close()
	}
	l.stop()
	l.listener.Close()
}

// beat sends heartbeats in both directions for a real time, as idle processes
// do.
func (l *links) beat(lasts time.Duration) error {
	const interval = 500 * time.Millisecond
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(interval) {
		for i := range l.dialled {
			if err := errors.CombineErrors(l.dialled[i].Send(&wire.Heartbeat{ConfigOffset: 1}), l.accepted[i].Send(&wire.Heartbeat{ConfigOffset: 1})); err != nil {
				return err
			}
		}
	}
	return nil
}

// work sends dispatches of one task, spread over the connections, at a rate per
// second in all, and waits for their arrival.
func (l *links) work(rate int, lasts time.Duration) error {
	const interval = 10 * time.Millisecond
	m := dispatchOf(1, payload)
	total := int64(float64(rate) * lasts.Seconds())
	began, sent := time.Now(), int64(0)
	for sent < total {
		due := min(total, int64(time.Since(began).Seconds()*float64(rate)))
		for ; sent < due; sent++ {
			if err := l.accepted[sent%int64(len(l.accepted))].Send(m); err != nil {
				return err
			}
		}
		time.Sleep(interval)
	}
	for deadline := time.Now().Add(acceptTimeout); l.received.Load() < total; time.Sleep(interval) {
		if time.Now().After(deadline) {
			return errors.Newf("%d of %d messages received", l.received.Load(), total)
		}
	}
	return nil
}

func quicFigures(o Options) ([]Figure, error) {
	memory := Figure{Name: "quic: heap and stacks, both ends", Unit: "B", Per: "connection"}
	idle := Figure{Name: "quic: processor time per idle second, both ends", Unit: "µs", Per: "connection"}
	handshake := Figure{Name: "quic: processor time of handshakes, both ends", Unit: "µs", Per: "connection"}
	for _, n := range o.repeated(o.Connections) {
		before, used := liveBytes(), processorTime()
		l, err := openLinks(o.KeyDir, n, direct)
		if err != nil {
			return nil, err
		}
		handshake.Points = append(handshake.Points, Point{float64(n), (processorTime() - used).Seconds() * 1e6})
		if err := l.beat(time.Second); err != nil { // the buffers reach their usual size
			return nil, err
		}
		memory.Points = append(memory.Points, Point{float64(n), liveBytes() - before})
		began := time.Now()
		used = processorTime()
		if err := l.beat(o.Watch); err != nil {
			return nil, err
		}
		idle.Points = append(idle.Points, Point{float64(n), (processorTime() - used).Seconds() * 1e6 / time.Since(began).Seconds()})
		l.close()
		time.Sleep(closeWait)
	}
	work, err := messageWork(o)
	if err != nil {
		return nil, err
	}
	packets, err := packetFigures(o)
	return append([]Figure{memory, idle, handshake, work}, packets...), err
}

// probeWait outlasts the handshake and the search for the largest datagram.
const probeWait = 3 * time.Second

// pushFigures measures the real time from the push of a configuration of 42
// files until every connection has received it.
func pushFigures(o Options) ([]Figure, error) {
	const pushes = 5
	f := Figure{Name: "push: real time until 42 files are received", Unit: "µs", Per: "connection"}
	m := &wire.Config{Offset: 1}
	for _, file := range configFolder(41) {
		m.Files = append(m.Files, wire.ConfigFile{Name: file.Name, Version: file.Version, Content: file.Content})
	}
	for _, n := range o.Connections {
		l, err := openLinks(o.KeyDir, n, direct)
		if err != nil {
			return nil, err
		}
		if err := l.beat(time.Second); err != nil {
			return nil, err
		}
		for range max(o.Repeats, pushes) {
			took, err := l.push(m)
			if err != nil {
				return nil, err
			}
			f.Points = append(f.Points, Point{float64(n), took.Seconds() * 1e6})
		}
		l.close()
		time.Sleep(closeWait)
	}
	return []Figure{f}, nil
}

// push sends a configuration on every connection and waits for all to receive
// it.
func (l *links) push(m *wire.Config) (time.Duration, error) {
	l.configs.Store(0)
	began := time.Now()
	for _, c := range l.accepted {
		if err := c.Send(m); err != nil {
			return 0, err
		}
	}
	for l.configs.Load() < int64(len(l.accepted)) {
		if time.Since(began) > acceptTimeout {
			return 0, errors.Newf("%d of %d connections received the configuration", l.configs.Load(), len(l.accepted))
		}
		time.Sleep(100 * time.Microsecond)
	}
	return time.Since(began), nil
}

// closeWait lets closed connections give back their buffers.
const closeWait = time.Second

// messageWork measures the processor time of messages of one task at several
// rates over 100 connections.
func messageWork(o Options) (Figure, error) {
	f := Figure{Name: "quic: processor time per second, 100 connections", Unit: "µs", Per: "message/s"}
	for _, rate := range o.repeated([]int{500, 1000, 2000, 4000}) {
		l, err := openLinks(o.KeyDir, 100, direct)
		if err != nil {
			return f, err
		}
		used, lasts := processorTime(), min(o.Watch, 3*time.Second)
		if err := l.work(rate, lasts); err != nil {
			return f, err
		}
		f.Points = append(f.Points, Point{float64(rate), (processorTime() - used).Seconds() * 1e6 / lasts.Seconds()})
		l.close()
		time.Sleep(closeWait)
	}
	return f, nil
}

// headerBytes are the IPv4 and UDP headers of a datagram.
const headerBytes = 28

// packetFigures counts the datagrams of idle connections, with IP headers.
func packetFigures(o Options) ([]Figure, error) {
	packets := Figure{Name: "quic: datagrams per idle second, both directions", Unit: "1/s", Per: "connection"}
	sizes := Figure{Name: "quic: bytes with IP headers per idle second", Unit: "B/s", Per: "connection"}
	for _, n := range []int{5, 10, 20, 40} {
		counter := &packetCounter{}
		l, err := openLinks(o.KeyDir, n, counter.between)
		if err != nil {
			return nil, err
		}
		// The probes for the path's largest datagram end before the count begins.
		if err := l.beat(probeWait); err != nil {
			return nil, err
		}
		began, sent, bytes := time.Now(), counter.packets.Load(), counter.bytes.Load()
		if err := l.beat(o.Watch); err != nil {
			return nil, err
		}
		took := time.Since(began).Seconds()
		packets.Points = append(packets.Points, Point{float64(n), float64(counter.packets.Load()-sent) / took})
		sizes.Points = append(sizes.Points, Point{float64(n), float64(counter.bytes.Load()-bytes) / took})
		l.close()
		counter.close()
	}
	work, err := messagePackets(o)
	return []Figure{packets, sizes, work}, err
}

// messagePackets counts the bytes on the wire of dispatches of one task, spread
// over idle connections.
func messagePackets(o Options) (Figure, error) {
	const connections = 20
	frame, err := wire.Append(nil, dispatchOf(1, payload))
	f := Figure{Name: "quic: bytes with IP headers per second", Unit: "B/s",
		Per: fmt.Sprintf("message/s of %d bytes", len(frame))}
	for _, rate := range []int{100, 200, 400, 800} {
		counter := &packetCounter{}
		l, openErr := openLinks(o.KeyDir, connections, counter.between)
		if err = errors.CombineErrors(err, openErr); err != nil {
			return f, err
		}
		if err := l.beat(probeWait); err != nil {
			return f, err
		}
		l.received.Store(0)
		began, bytes := time.Now(), counter.bytes.Load()
		if err := l.work(rate, o.Watch); err != nil {
			return f, err
		}
		f.Points = append(f.Points, Point{float64(rate), float64(counter.bytes.Load()-bytes) / time.Since(began).Seconds()})
		l.close()
		counter.close()
	}
	return f, nil
}

// packetCounter relays datagrams and counts them in both directions.
type packetCounter struct {
	packets, bytes atomic.Int64
	sockets        []*net.UDPConn
}

// between opens a relay to addr for one connection and returns its address.
func (c *packetCounter) between(addr string) (string, error) {
	remote, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return "", err
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	back, err := net.DialUDP("udp", nil, remote)
	if err != nil {
		front.Close()
		return "", err
	}
	c.sockets = append(c.sockets, front, back)
	var client atomic.Pointer[net.UDPAddr]
	go c.pump(func(b []byte) (int, error) {
		n, from, err := front.ReadFromUDP(b)
		client.Store(from)
		return n, err
	}, back.Write)
	go c.pump(back.Read, func(b []byte) (int, error) { return front.WriteToUDP(b, client.Load()) })
	return front.LocalAddr().String(), nil
}

// pump copies datagrams until a socket is closed.
func (c *packetCounter) pump(read, write func([]byte) (int, error)) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := read(buffer)
		if err != nil {
			return
		}
		c.packets.Add(1)
		c.bytes.Add(int64(n + headerBytes))
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
