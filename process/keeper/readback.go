package keeper

import "time"

// maxLogAge is how old an owner's knowledge of the log may be when it orders tasks. A
// cancellation has to take effect within 3 s of its acknowledgement; the rest of that time
// is for the order on its way to the target.
const maxLogAge = 2500 * time.Millisecond

// readBack follows the appends of an owner until they have been read from the log, which
// shows that all records appended before them have been read too. An answer to an append
// alone does not show that: after a pause of the process, or with a read connection that
// is dead, the reader lacks records while appends succeed. The zero value is ready for use.
type readBack struct {
	// unread holds the appends that have not been read, in the order of the log.
	unread []unreadAppend
}

// unreadAppend is an append that has succeeded.
type unreadAppend struct {
	// next is the offset after its last record.
	next uint64
	// sent is when the first attempt was sent that may have taken effect.
	sent time.Time
}

// add notes an append that has succeeded. Appends that are too old to permit orders are
// dropped, so that their number is limited while the log can't be read.
func (r *readBack) add(now time.Time, a unreadAppend) {
	for len(r.unread) > 0 && now.Sub(r.unread[0].sent) >= maxLogAge {
		r.unread = r.unread[1:]
	}
	r.unread = append(r.unread, a)
}

// takeRead removes the appends that have been read, up to the offset next, and returns
// when the newest of them was sent. It reports false if there is none.
func (r *readBack) takeRead(next uint64) (sent time.Time, ok bool) {
	for len(r.unread) > 0 && r.unread[0].next <= next {
		sent, ok = r.unread[0].sent, true
		r.unread = r.unread[1:]
	}
	return sent, ok
}

// permitStarts lets the dispatcher start tasks of durable jobs for maxLogAge after the
// newest own append that has been read and applied was sent. The caller holds mu.
func (k *Keeper) permitStarts() {
	if sent, ok := k.readBack.takeRead(k.nextOffset); ok {
		k.dispatcher.StartDurableUntil(sent.Add(maxLogAge))
	}
}
