package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurerouter/azurerouter/connection/wire"
)

var start = time.Unix(1_700_000_000, 0)

func encodeAnnouncement(t interface{ Fatal(...any) }, inc wire.Incarnation, name string, stopped bool) []byte {
	data, err := Encode(Announcement{Stopped: stopped, Entry: wire.EntryAddress{Incarnation: inc, Name: name, PeerAddr: "127.0.0.1:1"}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against readers that have different lists at the same offset, and
// against a list that goes back to an earlier offset. One reader applies every
// record; the other skips some, reads some twice and restores lists of peers.
func TestReadersAgreeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records [][]byte
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			name := fmt.Sprint("entry-", rapid.IntRange(0, 2).Draw(t, "name"))
			inc := wire.Incarnation(rapid.IntRange(1, 5).Draw(t, "incarnation"))
			records = append(records, encodeAnnouncement(t, inc, name, rapid.Bool().Draw(t, "stopped")))
		}
		at := func(i int) time.Time { return start.Add(time.Duration(i) * time.Minute) }
		reference, restored := New(), New()
		for i, record := range records {
			offset := uint64(i + 1)
			reference.Apply(offset, at(i), record)
			before := restored.Offset()
			switch rapid.IntRange(0, 2).Draw(t, "how") {
			case 0:
				if restored.Offset() == offset-1 {
					restored.Apply(offset, at(i), record)
				}
			case 1:
				restored.Restore(offset, reference.List())
			case 2:
				restored.Apply(before, at(i), record)
				restored.Restore(before, nil)
			}
			if restored.Offset() < before {
				t.Fatalf("offset went back from %d to %d", before, restored.Offset())
			}
			if restored.Offset() == reference.Offset() && fmt.Sprint(restored.List()) != fmt.Sprint(reference.List()) {
				t.Fatalf("at offset %d: %v and %v", offset, restored.List(), reference.List())
			}
		}
	})
}

// Guards against a late stop of an earlier incarnation removing its successor,
// and against entries that stay in the list forever after a crash.
func TestStopAndExpiry(t *testing.T) {
	e := New()
	e.Apply(1, start, encodeAnnouncement(t, 1, "entry-a", false))
	e.Apply(2, start, encodeAnnouncement(t, 2, "entry-a", false))
	e.Apply(3, start, encodeAnnouncement(t, 1, "entry-a", true))
	if list := e.List(); len(list) != 1 || list[0].Incarnation != 2 {
		t.Fatalf("after a late stop: %v", list)
	}
	e.Apply(4, start.Add(AnnounceExpiry+time.Second), encodeAnnouncement(t, 3, "entry-b", false))
	if list := e.List(); len(list) != 1 || list[0].Name != "entry-b" {
		t.Fatalf("after the expiry: %v", list)
	}
}

// Guards against a panic on any record, and against accepting a record without
// the incarnation or address that a connection needs.
func FuzzDecode(f *testing.F) {
	f.Add(encodeAnnouncement(f, 1, "entry-a", false))
	f.Add([]byte{0xa1, 0x01, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Decode(data)
		if err == nil && (a.Entry.Incarnation == 0 || a.Entry.PeerAddr == "") {
			t.Fatalf("accepted %+v", a)
		}
	})
}
