package peer

import (
	"context"
	"testing"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// Guards against a dialer that keeps a failure to itself, or that gives up after
// it.
func TestDialerReportsEachFailure(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failures := make(chan string, 2)
	d := &Dialer{Identity: &Identity{}, Hello: func() wire.Hello { return wire.Hello{} },
		Wanted: func() []string { return []string{"127.0.0.1:0"} },
		Failed: func(addr string, err error) { failures <- addr }}
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	for range 2 {
		if addr := <-failures; addr != "127.0.0.1:0" {
			t.Fatalf("failure of %s", addr)
		}
	}
	cancel()
	if err := <-done; err != context.Canceled {
		t.Fatalf("Run ended with %v", err)
	}
}
