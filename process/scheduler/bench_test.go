package scheduler

import (
	"testing"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// BenchmarkAssignAndFinish measures the admission, assignment and end of one
// task with the 890 targets of the design at 80 % load.
func BenchmarkAssignAndFinish(b *testing.B) {
	for _, policy := range []Policy{LeastOutstanding, TwoChoices} {
		b.Run(string(policy), func(b *testing.B) {
			const targets, slots = 890, 8
			s := New(Settings{Policy: policy})
			for i := range targets {
				s.SetTarget(start, Target{ID: wire.Incarnation(i + 1), Zone: string(rune('a' + i%6)), Slots: slots})
			}
			random := newRandom()
			var running []Assignment
			for i := range b.N + targets*slots*8/10 {
				task := urgentTask(i, time.Hour)
				s.Admit(start, []Task{task})
				running = append(running, s.Assign(start, random)...)
				if i >= targets*slots*8/10 {
					done := running[0]
					running = running[1:]
					s.Finish(start, done.Target, done.Task.ID, EndOK, 500*time.Millisecond)
				}
			}
		})
	}
}
