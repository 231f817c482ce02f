package node

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/version/routing"
)

// testTimeout limits how long a test waits before it fails.
const testTimeout = 30 * time.Second

// unresponsiveAtFirst is a store that does not respond to the first read of all
// copies and responds to later ones.
type unresponsiveAtFirst struct {
	data  []byte
	calls atomic.Int32
}

func (s *unresponsiveAtFirst) SaveCopy(context.Context, int, uint64, []byte) error { return nil }

func (s *unresponsiveAtFirst) LoadCopy(ctx context.Context, _ int) ([]byte, error) {
	if s.calls.Add(1) <= configCopies {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.data, nil
}

// Guards against an entry that reads the copies only once: if the store does not
// respond to the first read, the entry would stay without a configuration after the
// store has recovered.
func TestCopiesAreReadAgainAfterNoResponse(t *testing.T) {
	data, err := packConfig(routing.Config{Version: 7})
	if err != nil {
		t.Fatal(err)
	}
	observer := observe.New("entry", io.Discard)
	e := NewEntry(EntryOptions{Node: "entry-1", Copies: &unresponsiveAtFirst{data: data}}, observer, observer.Decisions(1, 1))
	e.configUnreadable.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- e.recoverConfig(ctx) }()
	select {
	case <-e.configured:
	case <-ctx.Done():
		t.Fatal("no configuration")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if version := e.RoutingTable().Version; version != 7 {
		t.Errorf("version %d, expected 7", version)
	}
}
