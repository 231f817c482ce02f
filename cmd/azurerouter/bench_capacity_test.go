package main

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against "bench" being selected for "bench capacity", and against a help text
// that omits the unit or the default of a flag.
func TestBenchCapacityHelp(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := runSubcommand([]string{"bench", "capacity", "-h"}, &stdout, &stderr); code != exitOK {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	for _, line := range strings.Split(stdout.String(), "\n") {
		if strings.HasPrefix(line, "    ") && (!strings.Contains(line, "(") || !strings.Contains(line, "default")) {
			t.Errorf("no unit or default in %q", line)
		}
	}
	if !strings.Contains(stdout.String(), "-connections") {
		t.Errorf("help of another command: %q", stdout.String())
	}
}

// Guards against a misspelt name or a size out of range that is accepted and measures
// something else.
func TestBenchCapacityRefusesBadFlags(t *testing.T) {
	for _, args := range [][]string{{"-parts", "agnet"}, {"-connections", "100,200"}, {"-connections", "1,2,401"}, {"-repeats", "0"}, {"-watch", "1ms"}} {
		var stdout, stderr bytes.Buffer
		if code := runBenchCapacity(args, &stdout, &stderr); code != exitUsage || stderr.Len() == 0 {
			t.Errorf("%q: exit code %d, message %q", args, code, stderr.String())
		}
	}
}
