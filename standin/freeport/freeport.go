// Package freeport chooses the ports on which processes under test listen.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxAttempts bounds the ports that are tried for one address.
const maxAttempts = 1000

// Range gives out the ports of a range, each at most once. It is safe for concurrent use.
//
// A range should lie below the one from which the system takes ephemeral ports, so that no
// outgoing connection takes a port before its process binds it.
type Range struct {
	first, last int

	mu   sync.Mutex
	used map[int]bool
}

// NewRange returns the ports from first to last.
func NewRange(first, last int) *Range {
	return &Range{first: first, last: last, used: make(map[int]bool)}
}

// Addr returns a loopback address whose port is free for TCP and UDP and was not returned
// before. It fails if there is none.
func (r *Range) Addr() (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range maxAttempts {
		port := r.first + rand.IntN(r.last-r.first+1)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if !r.used[port] && bindable(addr) {
			r.used[port] = true
			return addr, nil
		}
	}
	return "", errors.Newf("no free port found from %d to %d", r.first, r.last)
}

// bindable reports whether the address can be bound for TCP and UDP.
func bindable(addr string) bool {
	stream, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer stream.Close()
	packets, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	packets.Close()
	return true
}
