// Command second runs one case of the second review: it starts the project's programs and
// stand-ins of the platform, plays what a claim describes, and checks the rule from what
// clients and executors have seen.
//
//	second CASE DIR
//
// It writes DIR/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"sort"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// verdict is the result of a case that could run: why the rule was broken, or nothing.
type verdict []string

type caseFunc func(r *record, trouble bool) (verdict, error)

var cases = map[string]caseFunc{
	"foreign-heartbeat": foreignHeartbeat,
	"foreign-draining":  foreignDraining,
	"frozen-accept":     frozenAccept,
	"late-start":        lateStart,
	"moved-queue":       movedQueue,
	"other-kind":        otherKind,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: second CASE DIR, with a case of %v\n", names)
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(maxDuration, func() {
		r.note("the case takes too long")
		r.close()
		os.Exit(2)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, with the disruption: %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	code := 0
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		code = 2
	case len(broken) > 0:
		for _, reason := range broken {
			r.note("BROKEN: %s", reason)
			fmt.Println("broken:", reason)
		}
		code = 1
	default:
		r.note("the rule held")
		fmt.Println("held")
	}
	r.close()
	os.Exit(code)
}
