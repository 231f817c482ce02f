package main

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against results that depend on anything but the seed, such as the iteration
// order of a map.
func TestBenchIsReproducible(t *testing.T) {
	args := []string{"-duration", "20s", "-scenarios", "load 95,zone lost"}
	var first, second, stderr bytes.Buffer
	if code := runBench(args, &first, &stderr); code != exitOK {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	runBench(args, &second, &stderr)
	if first.String() != second.String() {
		t.Errorf("two runs differ:\n%s\n%s", first.String(), second.String())
	}
}

// Guards against a help text that omits the unit of a flag.
func TestBenchHelpNamesUnits(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := runBench([]string{"-h"}, &stdout, &stderr); code != exitOK {
		t.Fatalf("exit code %d", code)
	}
	for _, line := range strings.Split(stderr.String(), "\n") {
		if strings.HasPrefix(line, "    ") && !strings.Contains(line, "(") {
			t.Errorf("no unit in %q", line)
		}
	}
}

// Guards against a misspelt name that is accepted and measures something else.
func TestBenchRefusesUnknownNames(t *testing.T) {
	for _, args := range [][]string{{"-policies", "lest"}, {"-scenarios", "load 81"}, {"-experiment", "x", "-duration", "20s"}} {
		var stdout, stderr bytes.Buffer
		if code := runBench(args, &stdout, &stderr); code == exitOK || stderr.Len() == 0 {
			t.Errorf("%q: exit code %d, message %q", args, code, stderr.String())
		}
	}
}
