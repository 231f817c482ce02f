// Command azurerouter is the single binary of the system. It contains the daemons,
// the operator tools, and stand-ins of the log service and of targets for local
// trials.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"
)

// subcommand is one command of the binary. run returns the exit code.
type subcommand struct {
	name    string
	summary string
	run     func(args []string, stdout, stderr io.Writer) int
}

var commands = []subcommand{
	{"entry", "run an entry process", runEntry},
	{"agent", "run the agent process of one target", runAgent},
	{"check", "check a folder of configuration files", runCheck},
	{"publish", "publish a folder of configuration files", runPublish},
	{"submit", "submit a job or single request from a file", runSubmit},
	{"status", "show the state of several processes on one screen", runStatus},
	{"ready", "check whether a process is ready", runReady},
	{"starts", "print the task starts that target stand-ins recorded", runStarts},
	{"dump", "print the state of one process", runDump},
	{"keys", "write keys and certificates for a deployment", runKeys},
	{"explain", "explain from logs why a job ended as it did", runExplain},
	{"explain-placement", "explain where the tasks of a job would go now", runExplainPlacement},
	{"load", "send a bounded load and print response times", runLoad},
	{"bench", "compare policies in virtual time", runBench},
	{"bench claims", "measure group commit in the log in virtual time", runBenchClaims},
	{"bench capacity", "measure the cost of connections, jobs, claims and messages", runBenchCapacity},
	{"bench cancel", "cancel many requests at once in virtual time", runBenchCancel},
	{"soak", "run entries and agents in virtual time under faults", runSoak},
	{"replay", "run a recorded trace of calls and faults", runReplay},
	{"standin log", "run a stand-in of the platform's log service", runStandinLog},
	{"standin target", "run a stand-in of a target", runStandinTarget},
}

func main() {
	os.Exit(runSubcommand(os.Args[1:], os.Stdout, os.Stderr))
}

// runSubcommand runs the command that the arguments name.
func runSubcommand(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		usage(stderr)
		return exitUsage
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		usage(stdout)
		return exitOK
	}
	// Two-word names are tried first: "bench" is also a command and would take the
	// second word as an argument.
	for wordCount := min(2, len(args)); wordCount >= 1; wordCount-- {
		name := strings.Join(args[:wordCount], " ")
		for _, c := range commands {
			if c.name == name {
				return c.run(args[wordCount:], stdout, stderr)
			}
		}
	}
	fmt.Fprintf(stderr, "azurerouter: unknown command %q; azurerouter -h lists the commands\n", args[0])
	return exitUsage
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: azurerouter COMMAND [flags]; azurerouter COMMAND -h prints the flags of a command")
	for _, c := range commands {
		fmt.Fprintf(w, "  %-18s %s\n", c.name, c.summary)
	}
}
