package main

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against a command that does not print its own help to stdout, and against a
// usage error that prints the whole help instead of one line.
func TestEveryCommandPrintsItsHelp(t *testing.T) {
	for _, c := range commands {
		var stdout, stderr bytes.Buffer
		if code := runSubcommand(append(strings.Fields(c.name), "-h"), &stdout, &stderr); code != exitOK || stderr.Len() > 0 ||
			!strings.HasPrefix(stdout.String(), "usage: azurerouter "+c.name) {
			t.Errorf("%s -h: exit code %d, stdout %q, stderr %q", c.name, code, stdout.String(), stderr.String())
		}
		stdout.Reset()
		code := runSubcommand(append(strings.Fields(c.name), "-no-such-flag"), &stdout, &stderr)
		if lines := strings.Count(stderr.String(), "\n"); code != exitUsage || lines != 1 || !strings.Contains(stderr.String(), "-no-such-flag") {
			t.Errorf("%s -no-such-flag: exit code %d, %d lines: %s", c.name, code, lines, stderr.String())
		}
	}
	var stdout, stderr bytes.Buffer
	if code := runSubcommand([]string{"no-such-command"}, &stdout, &stderr); code != exitUsage || strings.Count(stderr.String(), "\n") != 1 {
		t.Errorf("unknown command: exit code %d: %s", code, stderr.String())
	}
}
