package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	usageNotice = "usage: platform CASE RECORD"
)

// fronts is the number of frontends of every case.
const fronts = 3

// scenario is a case and its number of side machines.
type scenario struct {
	play  func(*fleet) error
	sides int
}

// cases are the cases, and other searches and trials that the report names, by name.
var cases = map[string]scenario{
	"ends":    {playEnds, 7},
	"resend":  {playResend, 7},
	"deadly":  {playDeadly, 7},
	"silent":  {playSilent, 11},
	"thaw":    {playThaw, 7},
	"crashes": {playCrashes, 7},
	"cancel":  {playCancel, 7},
	"stop":    {playStop, 7},
	"loop":    {playLoop, 7},
	"foreign": {playForeign, 7},
	"room":    {playRoom, 7},
	"solo":    {playSolo, 7},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, usageNotice)
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	w, err := newWorld(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	f, err := newFleet(w, fronts, cases[name].sides)
	done := make(chan error, 1)
	if err == nil {
		go func() { done <- cases[name].play(f) }()
		select {
		case err = <-done:
		case s := <-signals:
			err = fmt.Errorf("%v", s)
		}
	}
	if f != nil {
		f.close()
	}
	broken := w.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return exitNotRun
	case broken > 0:
		fmt.Printf("the rule was broken %d times, see the record\n", broken)
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
