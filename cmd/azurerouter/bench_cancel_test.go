package main

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against a flag value beyond its range that is accepted, and against a help
// text that omits a default.
func TestBenchCancelFlags(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := runSubcommand([]string{"bench", "cancel", "-requests", "20001"}, &stdout, &stderr); code != exitUsage || stderr.Len() == 0 {
		t.Errorf("exit code %d, message %q", code, stderr.String())
	}
	if code := runBenchCancel([]string{"-h"}, &stdout, &stderr); code != exitOK || strings.Count(stdout.String(), "default") != 5 {
		t.Errorf("exit code %d, help %q", code, stdout.String())
	}
}

// Guards against a report that omits the messages of a hop or the times of release.
func TestBenchCancelReports(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := runBenchCancel([]string{"-requests", "200", "-agents", "10"}, &stdout, &stderr); code != exitOK {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	for _, part := range []string{"caller to entry", "entry to agent: cancel", "agent to target", "agent to entry: answers", "free after"} {
		if !strings.Contains(stdout.String(), part) {
			t.Errorf("no %q in %q", part, stdout.String())
		}
	}
}
