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
	caseFronts  = 3
	caseSides   = 7
	usageNotice = "usage: platform CASE RECORD"
)

// cases are the cases by name.
var cases = map[string]func(*fleet) error{
	"ends":    playEnds,
	"resend":  playResend,
	"crashes": playCrashes,
	"cancel":  playCancel,
	"stop":    playStop,
	"silent":  playSilent,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
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
	f, err := newFleet(w, caseFronts, caseSides)
	done := make(chan error, 1)
	if err == nil {
		go func() { done <- cases[name](f) }()
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
