package main

import (
	"syscall"
	"time"
)

// playRoom is no case but a trial: the room of executors shrinks, and their agents are
// started again. It counts starts that bring an executor over its room.
func playRoom(f *fleet) error {
	stop := f.load(20, 200*time.Millisecond, job{tasks: 6, length: 550 * time.Millisecond}, f.fronts...)
	time.Sleep(3 * time.Second)
	for _, s := range f.sides {
		f.w.mu.Lock()
		s.executor.room = 4800
		f.w.logLocked("disruption: the room of %s shrinks", s.executor.id)
		f.w.mu.Unlock()
		time.Sleep(3 * time.Second)
	}
	time.Sleep(5 * time.Second)
	f.w.mu.Lock()
	f.w.countOver = true
	f.w.mu.Unlock()
	for _, s := range f.sides {
		s.process.signal(syscall.SIGKILL)
		time.Sleep(4 * time.Second)
	}
	stop()
	return nil
}
