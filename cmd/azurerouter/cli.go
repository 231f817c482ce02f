package main

import (
	"flag"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// Exit codes of every command.
const (
	exitOK = 0
	// exitFailed means that the answer is no: a fault in the settings, a
	// refusal, a violated guarantee, a process that does not answer.
	exitFailed = 1
	// exitUsage means wrong arguments.
	exitUsage = 2
	// exitCannot means that check or publish could not do its work: an
	// unreadable folder or an unreachable log.
	exitCannot = 2
	// exitUnknown means that a publication may or may not have taken effect.
	exitUnknown = 3
)

// anyOperands lets parseFlags accept any number of operands.
const anyOperands = -1

// newFlags returns the flag set of a command. parseFlags prints its help and its
// errors.
func newFlags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.Usage = func() {}
	return flags
}

// parseFlags parses the flags and checks the number of operands. It reports
// false if the command ends with the code: after -h, or on an error, for which
// it prints one line.
func parseFlags(flags *flag.FlagSet, args []string, operands int, stdout, stderr io.Writer) (code int, ok bool) {
	err := flags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprintf(stdout, "usage: azurerouter %s [flags]\n", flags.Name())
		flags.SetOutput(stdout)
		flags.PrintDefaults()
		return exitOK, false
	case err != nil:
		fmt.Fprintf(stderr, "azurerouter %s: %v\n", flags.Name(), err)
		return exitUsage, false
	case operands != anyOperands && flags.NArg() != operands:
		fmt.Fprintf(stderr, "azurerouter %s: %d operands given, %d expected\n", flags.Name(), flags.NArg(), operands)
		return exitUsage, false
	}
	return exitOK, true
}

func fail(stderr io.Writer, name string, err error) int {
	fmt.Fprintf(stderr, "azurerouter %s: %v\n", name, err)
	return exitFailed
}
