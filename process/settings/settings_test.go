package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

const minimalAgent = `"name": "a", "zone": "z", "admin_addr": "127.0.0.1:9", "seeds": ["10.0.0.1:9"], "service": "s",
 "target_url": "http://10.0.0.1", "keys": {"authority": "a", "certificate": "c", "key": "k"}, "slots": 1`

// TestMessages guards against a mistake in a settings file that is accepted, or
// whose message does not lead to the line and to the right value.
func TestMessages(t *testing.T) {
	datadriven.RunTest(t, "testdata/messages.txt", func(t *testing.T, td *datadriven.TestData) string {
		path := filepath.Join(t.TempDir(), "own.json")
		text := strings.Replace(td.Input, "MINIMAL", minimalAgent, 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var loaded any
		var err error
		if td.Cmd == "entry" {
			loaded, err = LoadEntry(path)
		} else {
			loaded, err = LoadAgent(path)
		}
		if err != nil {
			return strings.ReplaceAll(err.Error(), path, "own.json")
		}
		return fmt.Sprintf("accepted, drain timeout %v", reflect.ValueOf(loaded).MethodByName("DrainTimeout").Call(nil)[0])
	})
}

// TestFieldsCoverStructs guards against a setting that is decoded but unknown to
// the checks and the page, or the other way round.
func TestFieldsCoverStructs(t *testing.T) {
	for process, settings := range map[Process]any{ProcessEntry: Entry{}, ProcessAgent: Agent{}} {
		var want []string
		for _, f := range Fields(process) {
			want = append(want, f.Path)
		}
		got := tags("", reflect.TypeOf(settings))
		slices.Sort(want)
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Errorf("%s decodes %v, the fields are %v", process, got, want)
		}
	}
}

func tags(prefix string, structure reflect.Type) (paths []string) {
	for i := range structure.NumField() {
		field := structure.Field(i)
		path := prefix + field.Tag.Get("json")
		if field.Type.Kind() == reflect.Struct {
			paths = append(paths, tags(path+".", field.Type)...)
		} else {
			paths = append(paths, path)
		}
	}
	return paths
}

// TestDefaults guards against a default that differs from the documented one.
func TestDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "own.json")
	if err := os.WriteFile(path, []byte("{"+minimalAgent+"}"), 0o600); err != nil {
		t.Fatal(err)
	}
	agent, err := LoadAgent(path)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]int64{"max_conns": int64(agent.MaxConns),
		"memory_mb": int64(agent.MemoryMB), "accelerators": int64(agent.Accelerators), "drain_timeout_ms": agent.DrainTimeoutMS}
	for _, f := range Fields(ProcessAgent) {
		if f.Unit != "" && !f.Required && got[f.Path] != f.Default {
			t.Errorf("%s: default is %d, the field says %d", f.Path, got[f.Path], f.Default)
		}
	}
}

// TestSettingsPage guards against a page whose fields, units, defaults or ranges
// differ from those that the code uses.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "\n## Settings of a process\n")
	if !found {
		t.Fatal("the page has no section on the settings of a process")
	}
	var rows, want []string
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| field |") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	for _, f := range fields {
		want = append(want, pageRow(f))
	}
	if !slices.Equal(rows, want) {
		t.Errorf("the rows of the page are\n%s\nwant\n%s", strings.Join(rows, "\n"), strings.Join(want, "\n"))
	}
}

func pageRow(f Field) string {
	unit, initial, accepted := "-", fmt.Sprint(f.Default), f.Expected()
	if f.Unit != "" {
		unit, accepted = f.Unit, fmt.Sprintf("%d to %d", f.Min, f.Max)
	} else if f.List {
		initial = "empty"
	}
	if f.Required {
		initial = "required"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |", f.Path, f.Process, unit, initial, accepted, f.Doc)
}
