package intake

import (
	"net/netip"
	"time"
)

const (
	// minRate is the rate in bytes per second below which a request is slow. A body of the
	// published maximum of 256 KiB takes a quarter of a second at this rate; instances have
	// at least 19 Mbit/s.
	minRate = 1 << 20
	// startAllowance is the time in which no request is slow: connection set-up, delays of the
	// network and of a process short of processor time.
	startAllowance = 250 * time.Millisecond
	// smallerFactor is by how much the largest request has to exceed another one to give way
	// to it while no request is slow.
	smallerFactor = 2
)

// lateness is how much longer a request takes than one at minRate. It is positive for a
// slow request.
func (u usage) lateness(now time.Time) time.Duration {
	allowed := startAllowance + time.Duration(float64(u.arrived)/minRate*float64(time.Second))
	return now.Sub(u.started) - allowed
}

// chooseVictim returns the index of the request that has to give way to the newcomer, or -1
// if the newcomer itself has to. Slow requests give way first, those of the client address with
// the most bytes in slow requests before others, and of these the latest. If no request is slow, the
// largest request of the address that holds most gives way to one that is much smaller. A client
// therefore can't hold the budget with slow requests, nor with large ones against small ones.
func chooseVictim(now time.Time, newcomer usage, others []usage) int {
	slow := func(u usage) bool { return u.lateness(now) > 0 }
	if address, found := heaviest(others, slow); found {
		best := -1
		for i, u := range others {
			if u.address == address && slow(u) && (best < 0 || u.lateness(now) > others[best].lateness(now)) {
				best = i
			}
		}
		if newcomer.address == address && newcomer.lateness(now) > others[best].lateness(now) {
			return -1
		}
		return best
	}
	if slow(newcomer) {
		return -1
	}
	address, found := heaviest(others, func(usage) bool { return true })
	if !found {
		return -1
	}
	best := -1
	for i, u := range others {
		if u.address == address && (best < 0 || u.held > others[best].held) {
			best = i
		}
	}
	if others[best].held < smallerFactor*newcomer.held {
		return -1
	}
	return best
}

// heaviest returns the address whose requests that match hold most.
func heaviest(requests []usage, matches func(usage) bool) (address netip.Addr, found bool) {
	held := make(map[netip.Addr]int64)
	for _, u := range requests {
		if !matches(u) {
			continue
		}
		held[u.address] += u.held
		if !found || held[u.address] > held[address] {
			address, found = u.address, true
		}
	}
	return address, found
}
