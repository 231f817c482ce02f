package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by the number of their folder. Each returns whether the rule held.
var cases = map[string]func(w *world, trouble bool) bool{}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) (code int) {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		return exitCannotRun
	}
	record, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer record.Close()
	defer func() {
		if r := recover(); r != nil {
			reason, ok := r.(cannotRun)
			if !ok {
				panic(r)
			}
			fmt.Fprintln(record, "the case could not run:", reason.reason)
			fmt.Fprintln(os.Stderr, "the case could not run:", reason.reason)
			code = exitCannotRun
		}
	}()
	w := newWorld(record)
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.close()
		os.Exit(exitCannotRun)
	}()
	if cases[args[0]](w, os.Getenv("TROUBLE") != "0") {
		w.note("the rule held")
		return exitHeld
	}
	w.note("THE RULE WAS BROKEN")
	return exitBroken
}
