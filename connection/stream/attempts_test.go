package stream

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a machine that is reached late after it has come back, because the dial
// waits for the answer to a packet that was lost before, and against connections that are
// left open by attempts that succeed later.
func TestLaterAttemptConnectsWhileTheFirstHangs(t *testing.T) {
	var attempts atomic.Int32
	first, firstPeer := net.Pipe()
	second, _ := net.Pipe()
	conn, err := race(t.Context(), func(ctx context.Context) attempt {
		if attempts.Add(1) == 1 {
			<-ctx.Done()
			return attempt{first, nil}
		}
		return attempt{second, nil}
	})
	if err != nil || conn != second {
		t.Fatalf("connection %v, error %v, want that of the second attempt", conn, err)
	}
	if _, err := firstPeer.Read(make([]byte, 1)); err == nil {
		t.Error("the connection of the first attempt is left open")
	}
}

// Guards against a dial that goes on although the machine has refused the connection.
func TestRefusalEndsTheDial(t *testing.T) {
	refused := errors.New("refused")
	var attempts atomic.Int32
	_, err := race(t.Context(), func(context.Context) attempt {
		attempts.Add(1)
		return attempt{nil, refused}
	})
	// On a busy machine a further attempt may begin before the first has returned.
	before := attempts.Load()
	time.Sleep(3 * dialAttemptInterval)
	if later := attempts.Load() - before; !errors.Is(err, refused) || later != 0 {
		t.Errorf("error %v and %d attempts after it, want the refusal and none", err, later)
	}
}
