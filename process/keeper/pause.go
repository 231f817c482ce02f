package keeper

import (
	"context"
	"time"

	"github.com/azurerouter/azurerouter/process/decision"
)

const (
	// pauseCheckInterval is the time between two checks whether the process was paused.
	pauseCheckInterval = 200 * time.Millisecond
	// minPause is the shortest pause that counts. It is much shorter than the time for
	// which owners may be silent.
	minPause = time.Second
)

// watchForPauses notes pauses of the process until the context ends.
func (k *Keeper) watchForPauses(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.notePause()
		}
	}
}

// notePause notes a pause that has ended since the last check. The log was not read
// meanwhile, so that owners which seem silent may be alive.
func (k *Keeper) notePause() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Now()
	if k.wasPaused(now) {
		from := time.Unix(0, k.lastPauseCheck.Load())
		k.recorder.Record(decision.Decision{Step: "job_log", Outcome: "paused", Age: now.Sub(from)})
		k.reads.notePause(from, now)
		k.readsCurrent.Store(false)
	}
	k.lastPauseCheck.Store(now.UnixNano())
}

// wasPaused reports whether the process was paused and this has not been noted yet.
func (k *Keeper) wasPaused(now time.Time) bool {
	return now.UnixNano()-k.lastPauseCheck.Load() > minPause.Nanoseconds()
}
