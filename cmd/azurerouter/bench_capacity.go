package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/bench/capacity"
)

// runBenchCapacity prints the costs of connections, jobs, claims and messages, each as
// the slope over several sizes, and returns the exit code.
func runBenchCapacity(args []string, stdout, stderr io.Writer) int {
	var options capacity.Options
	var parts, connections string
	flags := newFlags("bench capacity")
	flags.StringVar(&parts, "parts", "all", "what to measure (comma-separated names of "+partNames()+", or \"all\")")
	flags.IntVar(&options.RunsPerSize, "repeats", 3, "runs of each size (runs, 1 to 100)")
	flags.StringVar(&connections, "connections", "100,200,400", "sizes over QUIC (comma-separated numbers of connections, 1 to 400)")
	flags.DurationVar(&options.ObserveDuration, "watch", 5*time.Second, "real time for which connections are watched (duration, 1s to 60s)")
	if code, ok := parseFlags(flags, args, 0, stdout, stderr); !ok {
		return code
	}
	selected, err := selectParts(parts)
	if err == nil {
		options.Connections, err = connectionSizes(connections)
	}
	if err == nil && (options.RunsPerSize < 1 || options.RunsPerSize > 100) {
		err = errors.New("repeats must be 1 to 100")
	}
	if err == nil && (options.ObserveDuration < time.Second || options.ObserveDuration > time.Minute) {
		err = errors.New("watch must be 1s to 60s")
	}
	if err != nil {
		fmt.Fprintf(stderr, "azurerouter %s: %v\n", flags.Name(), err)
		return exitUsage
	}
	if options.KeyDir, err = os.MkdirTemp("", "azurerouter-capacity-*"); err != nil {
		return fail(stderr, flags.Name(), err)
	}
	defer os.RemoveAll(options.KeyDir)
	fmt.Fprintf(stdout, "azurerouter bench capacity -parts %s -repeats %d -connections %s -watch %s\n", parts, options.RunsPerSize, connections, options.ObserveDuration)
	if err := writeFigures(stdout, selected, options); err != nil {
		return fail(stderr, flags.Name(), err)
	}
	return exitOK
}

func writeFigures(w io.Writer, parts []capacity.Part, options capacity.Options) error {
	for _, part := range parts {
		figures, err := part.Run(options)
		for _, f := range figures {
			if err := f.Write(w); err != nil {
				return err
			}
		}
		if err != nil {
			return errors.Wrap(err, part.Name)
		}
	}
	return nil
}

func partNames() string {
	var names []string
	for _, part := range capacity.Parts() {
		names = append(names, part.Name)
	}
	return strings.Join(names, ", ")
}

// selectParts returns the named parts. It rejects unknown names, which would otherwise
// measure nothing.
func selectParts(list string) ([]capacity.Part, error) {
	all := capacity.Parts()
	if list == "all" {
		return all, nil
	}
	var selected []capacity.Part
	for _, name := range strings.Split(list, ",") {
		i := slices.IndexFunc(all, func(p capacity.Part) bool { return p.Name == name })
		if i < 0 {
			return nil, errors.Newf("unknown part %q, want some of %s", name, partNames())
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}

// connectionSizes parses the sizes. It requires three different ones, because a line
// through two points has no standard error.
func connectionSizes(list string) ([]int, error) {
	var sizes []int
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > capacity.MaxConnections {
			return nil, errors.Newf("connections %q must be 1 to %d", text, capacity.MaxConnections)
		}
		if !slices.Contains(sizes, n) {
			sizes = append(sizes, n)
		}
	}
	if len(sizes) < 3 {
		return nil, errors.New("connections needs at least three different sizes")
	}
	return sizes, nil
}
