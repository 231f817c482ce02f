package node

import (
	"context"

	"github.com/azurerouter/azurerouter/process/keeper"
	"github.com/azurerouter/azurerouter/process/observe"
)

// observedLog is a log whose failed reads are reported as a condition.
type observedLog struct {
	keeper.Log
	unreadable *observe.Condition
}

// Follow implements keeper.Log.
func (l observedLog) Follow(ctx context.Context, reader keeper.Reader) {
	note := reader.NoteResult
	reader.NoteResult = func(err error) {
		l.unreadable.Set(err)
		note(err)
	}
	l.Log.Follow(ctx, reader)
}
