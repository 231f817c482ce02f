// Package caller tells whether the caller of a request is still connected.
package caller

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type connKey struct{}

// WithConn returns a context for the requests on a connection. It is meant for
// http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Connected returns a function that reports whether the connection on which a request came
// is open as far as this machine knows, or nil if its connection is not known. A server
// notices the end of a connection only when the goroutine that reads from it runs, which
// takes long in a process that lacks processor time. The bytes of a request can be read
// even after the connection was reset.
func Connected(ctx context.Context) func() bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	return func() bool {
		open := false
		err := raw.Control(func(fd uintptr) { open = isOpen(int(fd)) })
		return err == nil && open
	}
}

// isOpen looks at what can be read from a socket without taking it.
func isOpen(fd int) bool {
	var next [1]byte
	n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch err {
	case nil:
		return n > 0
	case unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT, unix.ENOTCONN, unix.EBADF:
		return false
	}
	return true
}
