package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurerouter/azurerouter/connection/wire"
)

var start = time.Unix(1_700_000_000, 0)

func announce(t interface{ Fatal(...any) }, inc wire.Incarnation, name string, stopped bool) []byte {
	data, err := Encode(Announcement{Stopped: stopped, Entry: wire.EntryAddress{Incarnation: inc, Name: name, PeerAddr: "127.0.0.1:1"}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against readers that disagree, and against a list that goes back to an
// earlier offset, whatever peers hand over in between.
func TestReadersAgreeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records [][]byte
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			name := fmt.Sprint("entry-", rapid.IntRange(0, 2).Draw(t, "name"))
			inc := wire.Incarnation(rapid.IntRange(1, 5).Draw(t, "incarnation"))
			records = append(records, announce(t, inc, name, rapid.Bool().Draw(t, "stopped")))
		}
		at := func(i int) time.Time { return start.Add(time.Duration(i) * time.Minute) }
		steady, jumping := New(), New()
		for i, record := range records {
			offset := uint64(i + 1)
			steady.Apply(offset, at(i), record)
			before := jumping.Offset()
			switch rapid.IntRange(0, 2).Draw(t, "how") {
			case 0:
				if jumping.Offset() == offset-1 {
					jumping.Apply(offset, at(i), record)
				}
			case 1:
				jumping.Restore(offset, steady.List())
			case 2:
				jumping.Apply(before, at(i), record)
				jumping.Restore(before, nil)
			}
			if jumping.Offset() < before {
				t.Fatalf("offset went back from %d to %d", before, jumping.Offset())
			}
			if jumping.Offset() == steady.Offset() && fmt.Sprint(jumping.List()) != fmt.Sprint(steady.List()) {
				t.Fatalf("at offset %d: %v and %v", offset, jumping.List(), steady.List())
			}
		}
	})
}

// Guards against a late stop of an earlier incarnation that removes its
// successor, and against entries that stay for ever after a crash.
func TestStopAndExpiry(t *testing.T) {
	e := New()
	e.Apply(1, start, announce(t, 1, "entry-a", false))
	e.Apply(2, start, announce(t, 2, "entry-a", false))
	e.Apply(3, start, announce(t, 1, "entry-a", true))
	if list := e.List(); len(list) != 1 || list[0].Incarnation != 2 {
		t.Fatalf("after a late stop: %v", list)
	}
	e.Apply(4, start.Add(AnnounceExpiry+time.Second), announce(t, 3, "entry-b", false))
	if list := e.List(); len(list) != 1 || list[0].Name != "entry-b" {
		t.Fatalf("after the expiry: %v", list)
	}
}

// Guards against a panic for any record, and against one that lacks what a dial
// needs.
func FuzzDecode(f *testing.F) {
	f.Add(announce(f, 1, "entry-a", false))
	f.Add([]byte{0xa1, 0x01, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Decode(data)
		if err == nil && (a.Entry.Incarnation == 0 || a.Entry.PeerAddr == "") {
			t.Fatalf("accepted %+v", a)
		}
	})
}
