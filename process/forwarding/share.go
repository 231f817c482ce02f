// Package forwarding decides which submissions an entry forwards to other entries, and to
// which ones. It reads no clock.
//
// An entry forwards while it is short of processor time: a forwarded submission costs it a
// message in each direction, in place of the messages to and from the agents of each task.
package forwarding

import "time"

// Parameters of the share of submissions that are forwarded.
const (
	// window is the shortest time between two changes of the share.
	window = 100 * time.Millisecond
	// longWait is the mean wait of goroutines for a processor above which the share grows. It
	// is below the one at which submissions are rejected. shortWait is the one below which the
	// share shrinks.
	longWait  = 2 * time.Millisecond
	shortWait = 500 * time.Microsecond
	// growth and shrinkage are the changes of the share in a window. It shrinks slowly: the
	// entry has time to spare because it forwards.
	growth    = 0.25
	shrinkage = 0.02
)

// Share is the share of submissions that an entry forwards. The zero value is none. It is
// not safe for concurrent use.
type Share struct {
	value   float64
	changed time.Time
}

// Update takes the mean wait of goroutines for a processor into account, and whether the
// entry rejects submissions for lack of processor time. It returns the share.
func (s *Share) Update(now time.Time, wait time.Duration, rejects bool) float64 {
	if now.Sub(s.changed) < window {
		return s.value
	}
	s.changed = now
	switch {
	case rejects:
		s.value = 1
	case wait > longWait:
		s.value = min(1, s.value+growth)
	case wait < shortWait:
		s.value = max(0, s.value-shrinkage)
	}
	return s.value
}
