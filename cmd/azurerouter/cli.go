package main

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Exit codes of every command.
const (
	exitOK = 0
	// exitFailed means that the command ran with a negative result: a fault in the
	// settings, a refusal, a violated guarantee, a process that does not respond.
	exitFailed = 1
	// exitUsage means wrong arguments.
	exitUsage = 2
	// exitError means that check or publish could not run: an unreadable folder or
	// an unreachable log.
	exitError = 2
	// exitOutcomeUnknown means that a publication may or may not have taken effect.
	exitOutcomeUnknown = 3
)

// anyOperands lets parseFlags accept any number of operands.
const anyOperands = -1

// newFlags returns the flag set of a command. In its help, the usage lines follow
// the name of the command. The flag set prints nothing itself; parseFlags prints
// the help and the errors.
func newFlags(name string, usage ...string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.Usage = func() {
		fmt.Fprintf(flags.Output(), "usage: azurerouter %s [flags]%s\n", name, strings.Join(usage, "\n"))
		flags.PrintDefaults()
	}
	return flags
}

// parseFlags parses the flags and checks the number of operands. ok is false if the
// command must exit with code: after -h, or after an error, of which it prints one
// line.
func parseFlags(flags *flag.FlagSet, args []string, operands int, stdout, stderr io.Writer) (code int, ok bool) {
	err := flags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		flags.SetOutput(stdout)
		flags.Usage()
		return exitOK, false
	case err != nil:
		return usageError(flags, stderr, err.Error()), false
	case operands != anyOperands && flags.NArg() != operands:
		return usageError(flags, stderr, fmt.Sprintf("%d operands given, %d expected", flags.NArg(), operands)), false
	}
	return exitOK, true
}

// usageError prints one line with the fault in the arguments and returns exitUsage.
func usageError(flags *flag.FlagSet, stderr io.Writer, message string) int {
	fmt.Fprintf(stderr, "azurerouter %s: %s\n", flags.Name(), message)
	return exitUsage
}

// fail prints err and returns exitFailed.
func fail(stderr io.Writer, name string, err error) int {
	fmt.Fprintf(stderr, "azurerouter %s: %v\n", name, err)
	return exitFailed
}
