package peer

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"net"
	"runtime"
	"runtime/debug"
	"syscall"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/outbox"
	"github.com/azurerouter/azurerouter/connection/wire"
)

// transport opens n connections with the framing of package wire and returns a
// send function for each. The remote ends answer every Query; answered is called
// at the local end for each answer.
type transport func(b *testing.B, n int, answered func()) []func(wire.Message) error

// benchGCPercent lets the heap of a few MB grow to about 64 MB, the memory limit of
// an agent, between collections.
const benchGCPercent = 1600

var transports = []struct {
	name    string
	connect transport
}{{"quic", connectQUIC}, {"tcp", connectTCP}}

// BenchmarkMessages measures the processor time of both ends per message. A
// round trip is two messages of the same size. inflight is the number of
// concurrent round trips: 1 shows the cost of single messages, 32 that of messages
// that share packets.
func BenchmarkMessages(b *testing.B) {
	for _, size := range []int{256, 16 << 10} {
		for _, inFlight := range []int{1, 32} {
			for _, tr := range transports {
				b.Run(fmt.Sprintf("%s/bytes=%d/inflight=%d", tr.name, size, inFlight), func(b *testing.B) {
					runRoundTrips(b, tr.connect, size, inFlight)
				})
			}
		}
	}
}

func runRoundTrips(b *testing.B, connect transport, size, inFlight int) {
	permits := make(chan struct{}, inFlight)
	send := connect(b, 1, func() { <-permits })[0]
	// The heap of the benchmark is much smaller than that of a process, so without
	// this setting the collector would run much more often than in a process.
	defer debug.SetGCPercent(debug.SetGCPercent(benchGCPercent))
	query := &wire.Query{Body: make([]byte, size)}
	before := processorTime(b)
	b.ResetTimer()
	for range b.N {
		permits <- struct{}{}
		if err := send(query); err != nil {
			b.Fatal(err)
		}
	}
	for range inFlight { // wait until every answer has arrived
		permits <- struct{}{}
	}
	b.StopTimer()
	b.ReportMetric(float64(processorTime(b)-before)/float64(2*b.N), "cpu-ns/msg")
}

// BenchmarkIdleMemory measures the heap and stack memory of both ends of idle
// connections. Kernel memory is not included.
func BenchmarkIdleMemory(b *testing.B) {
	for _, n := range []int{100, 400, 800} {
		for _, tr := range transports {
			b.Run(fmt.Sprintf("%s/connections=%d", tr.name, n), func(b *testing.B) {
				for range b.N {
					before := memoryInUse()
					answers := make(chan struct{}, n)
					conns := tr.connect(b, n, func() { answers <- struct{}{} })
					for _, send := range conns { // use each connection once
						send(&wire.Query{Body: make([]byte, 256)})
					}
					for range conns {
						<-answers
					}
					total := float64(memoryInUse() - before)
					b.ReportMetric(total/1024, "KB-total")
					b.ReportMetric(total/1024/float64(n), "KB/conn")
				}
			})
		}
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC() // the second collection empties sync.Pools
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// processorTime returns the user and system time of this process.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchTLS(b *testing.B) *tls.Config {
	b.Helper()
	dir := *remoteKeys
	if *remoteAddr == "" {
		dir = b.TempDir()
		if err := writeBenchKeys(dir); err != nil {
			b.Fatal(err)
		}
	}
	id, err := LoadIdentity(benchKeys(dir))
	if err != nil {
		b.Fatal(err)
	}
	return id.TLS()
}

func reply(q *wire.Query) wire.Message { return &wire.QueryReply{ID: q.ID, Answer: q.Body} }

type benchHandler struct{ answered func() }

func (benchHandler) Connected(*Conn) error     { return nil }
func (benchHandler) Disconnected(*Conn, error) {}
func (h benchHandler) Received(c *Conn, m wire.Message) {
	if q, ok := m.(*wire.Query); ok {
		c.Send(reply(q))
		return
	}
	h.answered()
}

func connectQUIC(b *testing.B, n int, answered func()) (sends []func(wire.Message) error) {
	config, addr := benchTLS(b), *remoteAddr
	if addr == "" {
		l, err := listenQUIC("127.0.0.1:0", config)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { l.Close() })
		addr = l.Addr()
	}
	for range n {
		c, err := Dial(b.Context(), addr, config, wire.Hello{Name: "agent"}, benchHandler{answered})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(c.Close)
		sends = append(sends, c.Send)
	}
	return sends
}

// tcpConn is the counterpart of Conn over TCP with TLS. It uses the same framing,
// read buffer size and batching of writes.
type tcpConn struct {
	net.Conn
	outbox *outbox.Outbox
}

func serveTCP(conn net.Conn, received func(*tcpConn, wire.Message)) *tcpConn {
	c := &tcpConn{Conn: conn, outbox: outbox.New(maxQueuedBytes)}
	go c.outbox.Run(conn)
	go c.readLoop(received)
	return c
}

func (c *tcpConn) Send(m wire.Message) error { return c.outbox.Put(m) }

func (c *tcpConn) readLoop(received func(*tcpConn, wire.Message)) {
	reader := bufio.NewReaderSize(c, readBufferBytes)
	for {
		m, err := wire.Read(reader)
		if err != nil {
			c.outbox.Close()
			c.Close()
			return
		}
		received(c, m)
	}
}

func connectTCP(b *testing.B, n int, answered func()) (sends []func(wire.Message) error) {
	config, addr := benchTLS(b), *remoteAddr
	if addr == "" {
		l, err := listenTCP("127.0.0.1:0", config)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { l.Close() })
		addr = l.Addr().String()
	}
	for range n {
		conn, err := tls.Dial("tcp", addr, config)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { conn.Close() })
		sends = append(sends, serveTCP(conn, func(*tcpConn, wire.Message) { answered() }).Send)
	}
	return sends
}
