package main

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/azurerouter/azurerouter/version/config"
)

const checkUsage = ` DIR

Checks the settings files (*.json, *.jsonc) in DIR and prints what is wrong with
them, one fault per line. Exits with 0 if there is no fault, 1 if there is one,
and 2 if DIR cannot be read. With -platform FILE in place of DIR it checks the
settings that the platform gives to a process.
`

// runCheck runs the subcommand check and returns the exit code.
func runCheck(args []string, stdout, stderr io.Writer) int {
	flags := newFlags("check", checkUsage)
	printMerged := flags.Bool("print", false,
		"print every merged value with its unit and the file that sets it (no unit, default false)")
	platformFile := flags.String("platform", "", "check the platform's settings of a process in this `file`")
	if isPlatformCheck(args) {
		if code, ok := parseFlags(flags, args, 0, stdout, stderr); !ok {
			return code
		}
		return checkPlatformSettings(*platformFile, stdout, stderr)
	}
	dir, code := parseFolderArgs(flags, args, stdout, stderr)
	if dir == "" {
		return code
	}
	files, err := readFolder(dir)
	if err != nil {
		fmt.Fprintln(stderr, "check:", err)
		return exitError
	}
	faults := config.Check(files)
	printFaults(stdout, faults)
	if *printMerged {
		merged, _ := config.Merge(files)
		printValues(stdout, merged)
	}
	if len(faults) > 0 {
		return exitFailed
	}
	return exitOK
}

// isPlatformCheck reports whether the first argument is -platform, which checks a
// settings file of the platform and takes no folder.
func isPlatformCheck(args []string) bool {
	return len(args) > 0 && strings.HasPrefix(strings.TrimLeft(args[0], "-"), "platform")
}

// parseFolderArgs parses flags before and after the one folder argument. If dir is
// empty, the command must exit with code.
func parseFolderArgs(flags *flag.FlagSet, args []string, stdout, stderr io.Writer) (dir string, code int) {
	for {
		if code, ok := parseFlags(flags, args, anyOperands, stdout, stderr); !ok {
			return "", code
		}
		if flags.NArg() == 0 {
			break
		}
		if dir != "" {
			return "", usageError(flags, stderr, "more than one folder")
		}
		dir, args = flags.Arg(0), flags.Args()[1:]
	}
	if dir == "" {
		return "", usageError(flags, stderr, "the settings folder is missing; see -h")
	}
	return dir, exitOK
}

func printFaults(w io.Writer, faults []config.Fault) {
	for _, fault := range faults {
		fmt.Fprintln(w, fault)
	}
}

func printValues(w io.Writer, merged config.MergeResult) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, value := range merged.Values() {
		source := value.File
		if source == "" {
			source = "default"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", value.Path, value.Text, value.Unit, source)
	}
	table.Flush()
}
