package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/azurerouter/azurerouter/process/scheduler"
	"github.com/azurerouter/azurerouter/request/job"
)

// Guards against a task that is not sent to an idle target, and against admitting
// one that no target can run.
func Example() {
	now := time.Unix(0, 0)
	s := scheduler.New(scheduler.Settings{})
	s.SetTarget(now, scheduler.Target{ID: 1, Name: "t1", Zone: "a", Slots: 1})

	task := scheduler.Task{Priority: job.Urgent, Enqueued: now, Deadline: now.Add(time.Second)}
	if refused := s.Admit(now, []scheduler.Task{task}); refused != nil {
		fmt.Println(refused)
	}
	for _, a := range s.Assign(now, rand.New(rand.NewPCG(1, 1))) {
		fmt.Println("send task", a.Task.ID.Index, "to", a.Target)
		s.Finish(now.Add(100*time.Millisecond), a.Target, a.Task.ID, scheduler.EndOK, 100*time.Millisecond)
	}
	tooLarge := task
	tooLarge.Needs.Accelerators = 1
	fmt.Println(s.Admit(now, []scheduler.Task{tooLarge}))
	// Output:
	// send task 0 to 0000000000000001
	// admit: cannot_run: no target has 0 MB of memory and 1 accelerators
}
