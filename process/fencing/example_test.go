package fencing_test

import (
	"fmt"
	"time"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/process/fencing"
	"github.com/azurerouter/azurerouter/request/job"
)

// A task starts at most once, even if its dispatch is repeated, and no new task
// starts for an entry that has been fenced.
func ExampleGuard() {
	const agent, entry wire.Incarnation = 1, 2
	now := time.Unix(0, 0)
	guard := fencing.New(agent, fencing.DefaultLimits, func(guarantee, detail string) { panic(detail) })
	guard.Connected(now, entry)

	task := wire.DispatchTask{Seq: 1, Key: job.KeyHash{7}, Count: 1, Attempt: 1, BudgetMS: 1000}
	fmt.Println("accepted:", guard.Admit(now, agent, entry, task, "").Accepted)
	fmt.Println("started:", guard.Begin(now, entry, task.Seq) == "")
	guard.End(now, entry, wire.TaskAnswer{Seq: 1, Attempt: 1, Outcome: job.OK, Output: []byte("42")})
	fmt.Printf("sent again: %s\n", guard.Admit(now, agent, entry, task, "").Answer.Output)

	now = now.Add(4 * time.Second)
	alive, held := guard.Fence(now, entry, 3*time.Second)
	fmt.Printf("fenced: %v, results handed over: %d\n", !alive, len(held))
	task.Seq = 2
	fmt.Println("new dispatch:", guard.Admit(now, agent, entry, task, "").Answer.NotStarted)
	// Output:
	// accepted: true
	// started: true
	// sent again: 42
	// fenced: true, results handed over: 1
	// new dispatch: fenced
}
