// Package membership folds the members stream of the log into the list of entry
// processes. It is pure; an Entries is not safe for concurrent use.
package membership

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// Stream is the name of the log stream.
const Stream = "members"

// Times of announcements.
const (
	// AnnounceInterval is how often an entry repeats its announcement, so that
	// it stays in the stream when older records are trimmed.
	AnnounceInterval = 2 * time.Minute
	// AnnounceExpiry is when an entry that has not repeated it is dropped, by
	// the times of the log.
	AnnounceExpiry = 3*AnnounceInterval + AnnounceInterval/2
)

// maxRecordBytes bounds a record of the stream.
const maxRecordBytes = 4 << 10

// Announcement is one record: an entry has started, goes on, or has stopped.
type Announcement struct {
	Entry   wire.EntryAddress `cbor:"1,keyasint"`
	Stopped bool              `cbor:"2,keyasint,omitempty"`
}

// Encode returns the record of an announcement.
func Encode(a Announcement) ([]byte, error) {
	data, err := cbor.Marshal(a)
	return data, errors.Wrap(err, "encode announcement")
}

// Decode reads a record of the stream.
func Decode(data []byte) (Announcement, error) {
	var a Announcement
	if len(data) > maxRecordBytes {
		return a, errors.Newf("announcement of %d bytes exceeds %d", len(data), maxRecordBytes)
	}
	if err := cbor.Unmarshal(data, &a); err != nil {
		return a, errors.Wrap(err, "decode announcement")
	}
	if a.Entry.Incarnation == 0 || a.Entry.PeerAddr == "" || a.Entry.Name == "" {
		return a, errors.New("announcement lacks incarnation, name or address")
	}
	return a, nil
}

// Entries is the list of entries as of an offset of the stream.
type Entries struct {
	offset uint64
	byName map[string]member
}

type member struct {
	address   wire.EntryAddress
	announced time.Time
}

// New returns an empty list as of offset 0.
func New() *Entries { return &Entries{byName: make(map[string]member)} }

// Offset returns the offset of the last record applied.
func (e *Entries) Offset() uint64 { return e.offset }

// Apply folds the record at an offset. Records at or below the offset already
// applied have no effect. It reports whether the list changed. An undecodable
// record is skipped with an error, so that every reader skips it.
func (e *Entries) Apply(offset uint64, at time.Time, data []byte) (changed bool, err error) {
	if offset <= e.offset {
		return false, nil
	}
	e.offset = offset
	expired := e.expire(at)
	a, err := Decode(data)
	if err != nil {
		return expired, err
	}
	known, ok := e.byName[a.Entry.Name]
	if a.Stopped {
		// A stop of an earlier incarnation says nothing of its successor.
		if ok && known.address.Incarnation == a.Entry.Incarnation {
			delete(e.byName, a.Entry.Name)
			return true, nil
		}
		return expired, nil
	}
	e.byName[a.Entry.Name] = member{address: a.Entry, announced: at}
	return expired || !ok || known.address != a.Entry, nil
}

func (e *Entries) expire(now time.Time) (changed bool) {
	for name, m := range e.byName {
		if now.Sub(m.announced) > AnnounceExpiry {
			delete(e.byName, name)
			changed = true
		}
	}
	return changed
}

// Restore takes over the list of a peer. It reports false, and has no effect, if
// the peer's list is not newer.
func (e *Entries) Restore(offset uint64, entries []wire.EntryAddress) bool {
	if offset <= e.offset {
		return false
	}
	e.offset = offset
	e.byName = make(map[string]member, len(entries))
	for _, address := range entries {
		announced := time.UnixMilli(address.AnnouncedMS)
		address.AnnouncedMS = 0
		e.byName[address.Name] = member{address: address, announced: announced}
	}
	return true
}

// List returns the entries in the order of their names.
func (e *Entries) List() []wire.EntryAddress {
	list := make([]wire.EntryAddress, 0, len(e.byName))
	for _, m := range e.byName {
		address := m.address
		address.AnnouncedMS = m.announced.UnixMilli()
		list = append(list, address)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
