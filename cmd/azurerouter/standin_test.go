package main

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// runFunc runs a command and returns its exit code.
type runFunc func(args []string, stdout, stderr io.Writer) int

var standins = map[string]runFunc{"log": runStandinLog, "target": runStandinTarget}

// Guards against a stand-in that keeps running after SIGTERM, and so outlives the test
// that started it.
func TestStandinsServeUntilSIGTERM(t *testing.T) {
	for name, runStandin := range standins {
		reader, stdout := io.Pipe()
		exit := make(chan int)
		go func() { exit <- runStandin([]string{"-listen", "127.0.0.1:0"}, stdout, io.Discard) }()
		line := make([]byte, 200)
		n, _ := reader.Read(line)
		url := strings.TrimSpace(string(line[strings.Index(string(line[:n]), "http"):n]))
		response, err := http.Get(url + "/control")
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("%s: GET /control: %v, %v", name, response, err)
		}
		syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
		if code := <-exit; code != exitOK {
			t.Errorf("%s ended with %d on SIGTERM", name, code)
		}
	}
}

// Guards against a stand-in that starts with unknown arguments, or that by default listens
// on other than loopback addresses.
func TestStandinUsage(t *testing.T) {
	for name, runStandin := range standins {
		var help bytes.Buffer
		if code := runStandin([]string{"-h"}, &help, io.Discard); code != exitOK || !strings.Contains(help.String(), `default "127.0.0.1:`) {
			t.Errorf("%s -h: code %d, help %s", name, code, help.String())
		}
		for _, args := range [][]string{{"-no-such-flag"}, {"extra"}} {
			if code := runStandin(args, io.Discard, io.Discard); code != exitUsage {
				t.Errorf("%s %v: code %d, want %d", name, args, code, exitUsage)
			}
		}
	}
}
