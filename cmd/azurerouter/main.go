// Command azurerouter is the one binary of the system: its daemons, the tools
// of operators and the stand-ins for trying it out.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"
)

// subcommand is one of the commands below. run returns the exit code.
type subcommand struct {
	name    string
	summary string
	run     func(args []string, stdout, stderr io.Writer) int
}

var commands = []subcommand{
	{"entry", "run an entry process", runEntry},
	{"agent", "run the process beside one target", runAgent},
	{"check", "check a folder of configuration files", runCheck},
	{"publish", "publish a folder of configuration files", runPublish},
	{"submit", "submit a job or single request from a file", runSubmit},
	{"status", "show the state of several processes on one screen", runStatus},
	{"ready", "ask a process whether it is ready", runReady},
	{"starts", "read the starts that target stand-ins recorded", runStarts},
	{"dump", "print the state of one process", runDump},
	{"keys", "write keys and certificates for a deployment", runKeys},
	{"explain", "tell from logs why a job ended as it did", runExplain},
	{"load", "send a bounded load and print response times", runLoad},
	{"bench", "compare policies in virtual time", runBench},
	{"bench claims", "measure group commit in the log in virtual time", runBenchClaims},
	{"bench capacity", "measure the cost of links, jobs, claims and messages", runBenchCapacity},
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
	// The longer name goes first, because bench is also a command of its own.
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
	fmt.Fprintln(w, "usage: azurerouter COMMAND [flags]; every command explains its flags with -h")
	for _, c := range commands {
		fmt.Fprintf(w, "  %-16s %s\n", c.name, c.summary)
	}
}
