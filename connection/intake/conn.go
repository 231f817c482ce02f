package intake

import (
	"bytes"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// writeTimeout bounds one write to a client. Responses are small; a client that does not
	// read them holds a connection.
	writeTimeout = 10 * time.Second
	// freeHeadCost is the cost of a head that is not charged, because connBytes covers it. Ordinary
	// requests have smaller heads.
	freeHeadCost = 8 << 10
	// headByteCost and headLineCost are what a byte and a line of a head take once they are
	// parsed: the line, the name and the value as strings, and an entry in a map.
	headByteCost = 3
	headLineCost = 160
	// rawByteCost is what a byte of a first message takes in a buffer that doubles, with the
	// buffers before it.
	rawByteCost = 5
)

var errHeadTooLong = errors.New("head of the request is too long")

// Conn is an accepted connection. Its reads enforce the limits of the head of a request.
type Conn struct {
	*net.TCPConn
	listener *Listener
	address  netip.Addr
	phase    atomic.Int32
	// since is when the phase began, in nanoseconds since the start of the process's clock.
	since atomic.Int64
	// writing is when the current write began, in the same unit, or zero.
	writing atomic.Int64
	// interrupted is set when every read has to fail.
	interrupted atomic.Bool
	// begun is set once a byte of the current request has arrived.
	begun atomic.Bool
	// admitted is what EarlyAnswerer.AnswerEarly has returned for the current request.
	admitted  bool
	closeOnce sync.Once

	// headBytes and headLines have arrived of the current head; lineBytes of its last line.
	// headEnded is set once its end has arrived, and headCharged is what was charged for it. Only
	// the reader of the connection uses them.
	headBytes, headLines, lineBytes int
	// lineLast is the last byte of that line, and headBegan is set once a line was not empty.
	lineLast             byte
	headBegan, headEnded bool
	headCharged          int64

	mu sync.Mutex
	// head is the charge for a head that takes more than freeHeadCost, or nil. closed is set when
	// the connection is closed.
	head   *charge
	closed bool
}

// newConn returns the connection in phaseHead.
func newConn(tcp *net.TCPConn, l *Listener) *Conn {
	c := &Conn{TCPConn: tcp, listener: l}
	if remote, ok := tcp.RemoteAddr().(*net.TCPAddr); ok {
		c.address = remote.AddrPort().Addr()
	}
	c.setPhase(phaseHead)
	return c
}

// clockStart is the origin of Conn.since, whose differences are then not affected by changes of
// the wall clock.
var clockStart = time.Now()

// setPhase begins a phase. A connection that was to leave stays.
func (c *Conn) setPhase(p phase) {
	c.since.Store(int64(time.Since(clockStart)))
	if phase(c.phase.Swap(int32(p))) == phaseLeaving {
		c.stay()
	}
}

func (c *Conn) view() connView {
	v := connView{address: c.address, phase: phase(c.phase.Load()), since: clockStart.Add(time.Duration(c.since.Load())), begun: c.begun.Load()}
	if c.interrupted.Load() {
		// It leaves as well, with a response.
		v.phase = phaseLeaving
	}
	return v
}

// Read reads from the connection. While the head of a request arrives it fails once the head is
// too long or the budget has no room for it.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n == 0 || err != nil {
			return c.admitRead(p, n, err)
		}
		answered, writeErr := c.answerEarly(p[:n])
		if writeErr != nil {
			return 0, writeErr
		}
		if !answered {
			return c.admitRead(p, n, nil)
		}
	}
}

// admitRead takes the result of a read of the connection into account.
func (c *Conn) admitRead(p []byte, n int, err error) (int, error) {
	leaving := phase(c.phase.Load()) == phaseLeaving
	if leaving && n == 0 {
		n = c.readArrived(p)
	}
	if n == 0 {
		return n, err
	}
	switch phase(c.phase.Load()) {
	case phaseIdle, phaseLeaving:
		c.setPhase(phaseHead)
	case phaseHead:
	default:
		return n, err
	}
	hadBegun := c.begun.Swap(true)
	if headErr := c.admitHead(p[:n]); headErr != nil {
		return 0, headErr
	}
	if leaving && hadBegun && !c.headEnded {
		// The rest of the request has not arrived in time.
		return 0, net.ErrClosed
	}
	return n, nil
}

// admitHead counts and charges bytes of a head, without those of a body that come with it.
func (c *Conn) admitHead(data []byte) error {
	if c.listener.options.Raw {
		c.headBytes += len(data)
	} else {
		c.countLines(data)
	}
	if c.headBytes > c.listener.headLimit() {
		return errHeadTooLong
	}
	byteCost := headByteCost
	if c.listener.options.Raw {
		byteCost = rawByteCost
	}
	if c.headLines > maxHeaderLines {
		return errHeadTooLong
	}
	cost := int64(byteCost*c.headBytes + headLineCost*c.headLines)
	if cost <= freeHeadCost {
		return nil
	}
	n := cost - c.headCharged
	c.headCharged = cost
	return c.chargeHead(n, len(data))
}

// countLines counts the bytes and lines of a head up to the empty line that ends it. Empty lines
// before a request do not end its head.
func (c *Conn) countLines(data []byte) {
	for !c.headEnded && len(data) > 0 {
		i := bytes.IndexByte(data, '\n')
		if i < 0 {
			c.headBytes += len(data)
			c.lineBytes += len(data)
			c.lineLast = data[len(data)-1]
			return
		}
		c.headBytes += i + 1
		c.lineBytes += i
		c.headLines++
		if i > 0 {
			c.lineLast = data[i-1]
		}
		// The end of a line is a line feed, usually after a carriage return.
		isEmpty := c.lineBytes == 0 || c.lineBytes == 1 && c.lineLast == '\r'
		c.headEnded = isEmpty && c.headBegan
		c.headBegan = c.headBegan || !isEmpty
		c.lineBytes, data = 0, data[i+1:]
	}
}

// chargeHead charges n bytes for a head of which some bytes have arrived. A head that has to give way
// ends its connection.
func (c *Conn) chargeHead(n int64, arrived int) error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	if c.head == nil {
		c.head = c.listener.intake.budget.open(time.Now(), c.address, c.interrupt)
	}
	head := c.head
	c.mu.Unlock()
	head.note(arrived)
	if err := head.grow(time.Now(), n); err != nil {
		// net/http closes a connection without a response after this error.
		return os.ErrDeadlineExceeded
	}
	return nil
}

// headArrived ends the phase of the head. It reports false if the request has to be given up,
// because its head had to give way.
func (c *Conn) headArrived(next phase) bool {
	c.setPhase(next)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head == nil || c.head.finish()
}

// becomeIdle releases what the last request has taken.
func (c *Conn) becomeIdle() {
	c.headBytes, c.headLines, c.lineBytes, c.headBegan, c.headEnded, c.headCharged = 0, 0, 0, false, false, 0
	c.begun.Store(false)
	c.admitted = false
	c.setPhase(phaseIdle)
	c.releaseHead()
}

func (c *Conn) releaseHead() {
	c.mu.Lock()
	head := c.head
	c.head = nil
	c.mu.Unlock()
	if head != nil {
		head.close()
	}
}

// interrupt makes the current read and all later ones fail.
func (c *Conn) interrupt() {
	c.interrupted.Store(true)
	// A connection that is closed already has no deadline.
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline sets the deadline of reads, unless they have been interrupted or the connection
// is to leave.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.TCPConn.SetReadDeadline(t); err != nil {
		return err
	}
	if c.interrupted.Load() || phase(c.phase.Load()) == phaseLeaving {
		return c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	}
	return nil
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Write writes to the connection. The listener closes the connection if that takes longer than
// writeTimeout; a deadline would cost a change of a timer for each response.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Store(int64(time.Since(clockStart)))
	n, err := c.TCPConn.Write(p)
	c.writing.Store(0)
	return n, err
}

// writesSince returns when the current write began. It reports false if there is none.
func (c *Conn) writesSince() (time.Time, bool) {
	began := c.writing.Load()
	return clockStart.Add(time.Duration(began)), began != 0
}

// Established tells that the other side has identified itself: the connection is no longer bound
// by the limits of its listener.
func (c *Conn) Established() {
	c.setPhase(phaseBusy)
	c.releaseHead()
	c.listener.table.remove(c)
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.closeOnce.Do(func() {
		c.listener.table.remove(c)
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.releaseHead()
	})
	return err
}
