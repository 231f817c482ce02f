// Package intake bounds the memory and the file descriptors that the clients of a process
// can take: a budget for the bytes of unfinished requests, and a bound on open connections
// for each listener. Bytes are charged when they arrive, not when they are announced. When
// the budget is full, slow requests give way to others; when a listener is full, connections
// on which no whole request has arrived are closed first.
package intake

import "time"

// Shares of the memory of an instance. The rest is for the state of the process, for
// garbage that has not been collected and for the kernel.
const (
	// bodyShare is the part of the memory for unfinished requests and their decoding.
	bodyShare = 4
	// connShare is the part of the memory for connections.
	connShare = 3
	// connBytes is what one connection takes: stacks and buffers of its goroutines, about
	// 16 KiB, and a full receive buffer of the kernel.
	connBytes = 48 << 10
	// minConns keeps a process with very little memory reachable.
	minConns = 64
)

// receiveBufferBytes is the receive buffer of a connection. The kernel uses up to twice as much
// memory. The default of several MB would let clients fill the memory with bytes that the
// process has not read.
const receiveBufferBytes = 16 << 10

// DefaultMemory is the memory of an instance whose settings name none, in bytes.
const DefaultMemory = 1 << 30

// RuntimeMemoryShare is the share of the memory of an instance that is set as the soft limit of the
// Go runtime. The rest is for memory outside the heap, about 10 MB, and for bytes that the kernel holds
// for clients, at most 32 KiB for each connection, which is 22 % of an instance with the most connections.
const RuntimeMemoryShare = 0.7

// Limits are the bounds of one process.
type Limits struct {
	// Bytes is the budget for unfinished requests.
	Bytes int64
	// Conns is the largest number of open connections of callers, Links of connections of
	// other processes before their first message, Checks and Control of those to the
	// listeners for readiness checks and for the target.
	Conns, Links, Checks, Control int
}

// DeriveLimits returns the bounds for an instance with an amount of memory in bytes and a
// limit of file descriptors. More than an eighth of the descriptors is left for files, the store,
// targets and established connections to other processes.
func DeriveLimits(memory int64, descriptors int) Limits {
	return Limits{
		Bytes:   memory / bodyShare,
		Conns:   min(descriptors/2, max(int(memory/connShare/connBytes), minConns)),
		Links:   min(descriptors/8, max(int(memory/connShare/connBytes), minConns)),
		Checks:  min(64, descriptors/16),
		Control: min(256, descriptors/16),
	}
}

// RequestLimits bounds a single request. Zero selects the default.
type RequestLimits struct {
	// HeaderBytes bounds the head of a request, HeaderTimeout the time from its first byte to
	// its end. IdleTimeout is for how long a client may leave a connection without a request; it is
	// closed idleGrace later.
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Defaults of RequestLimits, and bounds that no setting changes.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = time.Minute
	// maxHeaderLines bounds the lines of a head, each of which takes memory of its own.
	// Common HTTP servers accept about 100.
	maxHeaderLines = 256
	// bodyTimeout bounds the time from the head of a request to the end of its body.
	bodyTimeout = 30 * time.Second
)

// withDefaults replaces zero values.
func (l RequestLimits) withDefaults() RequestLimits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}
