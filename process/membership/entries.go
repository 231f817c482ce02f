// Package membership builds the list of entry processes from the members stream
// of the log. It performs no input or output. An Entries is not safe for
// concurrent use.
package membership

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// Stream is the name of the log stream with the announcements of entries.
const Stream = "members"

// Intervals of the announcements.
const (
	// AnnounceInterval is how often an entry repeats its announcement, so that
	// it stays in the stream when older records are trimmed.
	AnnounceInterval = 2 * time.Minute
	// AnnounceExpiry is the time without an announcement after which an entry is
	// dropped from the list, by the timestamps of the log.
	AnnounceExpiry = 3*AnnounceInterval + AnnounceInterval/2
)

// maxRecordBytes is the largest accepted size of a record, in bytes.
const maxRecordBytes = 4 << 10

// Announcement is one record of the stream. It announces that an entry runs or,
// with Stopped, that it has stopped.
type Announcement struct {
	Entry   wire.EntryAddress `cbor:"1,keyasint"`
	Stopped bool              `cbor:"2,keyasint,omitempty"`
}

// Encode returns the record of an announcement in CBOR.
func Encode(a Announcement) ([]byte, error) {
	data, err := cbor.Marshal(a)
	return data, errors.Wrap(err, "encode announcement")
}

// Decode decodes and checks a record of the stream.
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

// member is an entry and the time of its latest announcement.
type member struct {
	address     wire.EntryAddress
	announcedAt time.Time
}

// New returns an empty list as of offset 0.
func New() *Entries { return &Entries{byName: make(map[string]member)} }

// Offset returns the offset of the last record applied.
func (e *Entries) Offset() uint64 { return e.offset }

// Apply applies the record at an offset, with the time of the log. Records at or
// below the last applied offset have no effect. It reports whether the list
// changed. An undecodable record is skipped with an error, and every reader
// skips the same records.
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
	current, listed := e.byName[a.Entry.Name]
	if a.Stopped {
		// A stop of an earlier incarnation does not affect its successor.
		if listed && current.address.Incarnation == a.Entry.Incarnation {
			delete(e.byName, a.Entry.Name)
			return true, nil
		}
		return expired, nil
	}
	e.byName[a.Entry.Name] = member{address: a.Entry, announcedAt: at}
	return expired || !listed || current.address != a.Entry, nil
}

// expire drops the entries without an announcement for AnnounceExpiry.
func (e *Entries) expire(now time.Time) (changed bool) {
	for name, m := range e.byName {
		if now.Sub(m.announcedAt) > AnnounceExpiry {
			delete(e.byName, name)
			changed = true
		}
	}
	return changed
}

// Restore replaces the list by that of a peer. It returns false, and has no
// effect, if the peer's list is not newer.
func (e *Entries) Restore(offset uint64, entries []wire.EntryAddress) bool {
	if offset <= e.offset {
		return false
	}
	e.offset = offset
	e.byName = make(map[string]member, len(entries))
	for _, address := range entries {
		announced := time.UnixMilli(address.AnnouncedMS)
		address.AnnouncedMS = 0
		e.byName[address.Name] = member{address: address, announcedAt: announced}
	}
	return true
}

// List returns the entries sorted by name, each with the time of its latest
// announcement.
func (e *Entries) List() []wire.EntryAddress {
	list := make([]wire.EntryAddress, 0, len(e.byName))
	for _, m := range e.byName {
		address := m.address
		address.AnnouncedMS = m.announcedAt.UnixMilli()
		list = append(list, address)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
