package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

const minimalAgent = `"name": "a", "zone": "z", "admin_addr": "127.0.0.1:9", "seeds": ["10.0.0.1:9"], "service": "s",
 "target_url": "http://10.0.0.1", "keys": {"authority": "a", "certificate": "c", "key": "k"}, "slots": 1`

func loadText(t *testing.T, process, text string) (any, error) {
	path := filepath.Join(t.TempDir(), "own.json")
	text = strings.ReplaceAll(strings.Replace(text, "MINIMAL", minimalAgent, 1), `\n`, "\n")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if process == "entry" {
		return LoadEntry(path)
	}
	return LoadAgent(path)
}

// TestSettingsErrors guards against accepting a mistake in a settings file, and
// against an error message without the line or the expected value.
func TestSettingsErrors(t *testing.T) {
	datadriven.RunTest(t, "testdata/messages.txt", func(t *testing.T, td *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(td.Input + "\n") {
			loaded, err := loadText(t, td.Cmd, strings.TrimSpace(line))
			message := fmt.Sprint("accepted, drain timeout ", loaded.(interface{ DrainTimeout() time.Duration }).DrainTimeout())
			if err != nil {
				_, message, _ = strings.Cut(err.Error(), "own.json: ")
			}
			fmt.Fprintln(&out, message)
		}
		return out.String()
	})
}

// TestFieldsCoverStructs guards against a setting that is decoded but missing
// from the checks and the documentation, or the reverse.
func TestFieldsCoverStructs(t *testing.T) {
	for process, settings := range map[Process]any{ProcessEntry: Entry{}, ProcessAgent: Agent{}} {
		encoded, _ := json.Marshal(settings)
		got := regexp.MustCompile(`[a-z_]+":`).FindAllString(string(encoded), -1)
		want := []string{`keys":`}
		for _, f := range Fields(process) {
			want = append(want, f.Path[strings.LastIndex(f.Path, ".")+1:]+`":`)
		}
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Errorf("%s decodes %v, the fields are %v", process, got, want)
		}
	}
}

// TestSettingsPage guards against documentation whose fields, units, defaults or
// ranges differ from those in the code.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "\n## Settings of a process\n")
	if !found {
		t.Fatal("the page has no section on the settings of a process")
	}
	agent, err := loadText(t, "agent", "{MINIMAL}")
	if err != nil {
		t.Fatal(err)
	}
	defaults := make(map[string]any)
	for _, settings := range []any{Entry{DrainTimeoutMS: DefaultDrainTimeoutMS}, agent} {
		encoded, _ := json.Marshal(settings)
		json.Unmarshal(encoded, &defaults)
	}
	var rows, want []string
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| field |") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	for _, f := range fields {
		want = append(want, pageRow(f, defaults))
	}
	if !slices.Equal(rows, want) {
		t.Errorf("the rows of the page are\n%s\nwant\n%s", strings.Join(rows, "\n"), strings.Join(want, "\n"))
	}
}

func pageRow(f Field, defaults map[string]any) string {
	unit, initial, accepted := "-", fmt.Sprint(defaults[f.Path]), f.Expected()
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
