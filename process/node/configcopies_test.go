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

// patience bounds each wait of a test for something that happens in the end.
const patience = 30 * time.Second

// silentAtFirst is a store that does not answer the first look at the copies.
type silentAtFirst struct {
	data  []byte
	calls atomic.Int32
}

func (s *silentAtFirst) SaveCopy(context.Context, int, []byte) error { return nil }

func (s *silentAtFirst) LoadCopy(ctx context.Context, _ int) ([]byte, error) {
	if s.calls.Add(1) <= configCopies {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.data, nil
}

// Guards against an entry that waits for an answer of a silent store and misses
// that the store is back.
func TestCopiesAreAskedForAgainWithoutAnAnswer(t *testing.T) {
	data, err := packConfig(routing.Config{Version: 7})
	if err != nil {
		t.Fatal(err)
	}
	observer := observe.New("entry", io.Discard)
	e := NewEntry(EntryOptions{Node: "entry-1", Copies: &silentAtFirst{data: data}}, observer, observer.Decisions(1, 1))
	e.configUnread.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
	if version := e.Table().Version; version != 7 {
		t.Errorf("version %d, expected 7", version)
	}
}
