package stream

import (
	"context"
	"net"
	"time"
)

// attempt is the result of one attempt to connect.
type attempt struct {
	tcp net.Conn
	err error
}

// dialTCP connects to addr within dialTimeout.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return race(ctx, func(ctx context.Context) attempt {
		tcp, err := dialer.DialContext(ctx, "tcp", addr)
		return attempt{tcp, err}
	})
}

// race makes attempts within dialTimeout: while there is no answer, another one at each
// dialAttemptInterval. The first answer decides, a refusal included.
func race(ctx context.Context, connect func(context.Context) attempt) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	results := make(chan attempt)
	pending := 0
	start := func() {
		pending++
		go func() { results <- connect(ctx) }()
	}
	start()
	ticker := time.NewTicker(dialAttemptInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			start()
		case first := <-results:
			cancel()
			go closeAttempts(results, pending-1)
			return first.tcp, first.err
		}
	}
}

// closeAttempts closes the connections of attempts that succeed after another one has.
func closeAttempts(results <-chan attempt, pending int) {
	for range pending {
		if late := <-results; late.tcp != nil {
			late.tcp.Close()
		}
	}
}
