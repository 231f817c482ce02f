package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// sweepInterval is how often connections that have waited too long are closed.
const sweepInterval = 250 * time.Millisecond

// Intake holds the budget and the listeners of one process.
type Intake struct {
	budget *budget

	mu        sync.Mutex
	listeners []*Listener
}

// New returns an Intake with the budget of the limits and no listener.
func New(limits Limits) *Intake { return &Intake{budget: newBudget(limits.Bytes)} }

// ListenerOptions are the bounds of a listener.
type ListenerOptions struct {
	// MaxConns is the largest number of open connections.
	MaxConns int
	// Limits returns the limits in force for a request; nil selects the defaults.
	Limits func() RequestLimits
	// Raw is set for a protocol that is not HTTP: the head of a connection is what arrives
	// before Conn.Established is called, and has no lines.
	Raw bool
	// Early, if set, answers some requests before the HTTP server sees them.
	Early EarlyAnswerer
}

// Listener accepts connections within its bounds.
type Listener struct {
	net.Listener
	intake  *Intake
	options ListenerOptions
	table   *connTable
	stop    chan struct{}
	once    sync.Once
}

// Listen listens on a TCP address.
func (i *Intake) Listen(addr string, options ListenerOptions) (*Listener, error) {
	config := net.ListenConfig{Control: setReceiveBuffer}
	if options.Raw {
		// Processes send long messages to each other, and few connections are open.
		config.Control = nil
	}
	tcp, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	l := &Listener{Listener: tcp, intake: i, options: options, stop: make(chan struct{}),
		table: &connTable{max: max(options.MaxConns, 1), conns: make(map[*Conn]struct{})}}
	i.mu.Lock()
	i.listeners = append(i.listeners, l)
	i.mu.Unlock()
	go l.sweep()
	return l, nil
}

// setReceiveBuffer sets the receive buffer of a listener, which its connections take over.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.CombineErrors(err, setErr)
}

// Accept returns the next connection that the bounds allow.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(conn.(*net.TCPConn), l)
		if l.table.add(time.Now(), c) {
			return c, nil
		}
		c.Close()
	}
}

// Close stops accepting connections. Those that are open stay bound by the limits.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.stop) })
	return l.Listener.Close()
}

// requestLimits returns the limits in force.
func (l *Listener) requestLimits() RequestLimits {
	if l.options.Limits == nil {
		return RequestLimits{}.withDefaults()
	}
	return l.options.Limits().withDefaults()
}

func (l *Listener) headLimit() int { return l.requestLimits().HeaderBytes }

// sweep closes connections that have waited too long, until the listener is closed and no
// connection is left.
func (l *Listener) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	stopped := false
	for !stopped || len(l.table.all()) > 0 {
		<-ticker.C
		l.table.sweep(time.Now(), l.requestLimits())
		select {
		case <-l.stop:
			stopped = true
		default:
		}
	}
}

// ListenAndServe serves HTTP on an address until the server, which NewServer has returned, is
// shut down or closed. It then returns nil.
func (i *Intake) ListenAndServe(addr string, options ListenerOptions, server *http.Server) error {
	l, err := i.Listen(addr, options)
	if err != nil {
		return err
	}
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve on %s", addr)
	}
	return nil
}

// Stats are counters and sizes of a process.
type Stats struct {
	// Bytes is what unfinished requests hold of Budget.
	Bytes, Budget int64
	// Conns is the number of open connections, without established ones to other processes.
	Conns int
	// Evicted counts requests that had to give way, Refused those that found no room. Closed counts
	// connections that had to give way, Rejected those that were closed at once, TimedOut those on
	// which a request did not arrive in time, Idle those without a request.
	Evicted, Refused, Closed, Rejected, TimedOut, Idle uint64
}

// Stats returns the current values.
func (i *Intake) Stats() Stats {
	b := i.budget
	b.mu.Lock()
	s := Stats{Bytes: b.used, Budget: b.total, Evicted: b.evicted, Refused: b.refused}
	b.mu.Unlock()
	i.mu.Lock()
	listeners := i.listeners
	i.mu.Unlock()
	for _, l := range listeners {
		l.table.mu.Lock()
		s.Conns += len(l.table.conns)
		s.Closed += l.table.closed
		s.Rejected += l.table.refused
		s.TimedOut += l.table.timedOut
		s.Idle += l.table.idle
		l.table.mu.Unlock()
	}
	return s
}
