package config

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestSettingsPage guards against a settings page whose fields, units, defaults,
// ranges or descriptions differ from those in the code, because only one of them
// was changed.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	// The rows of the next section are compared by the test of process/settings.
	published, _, found := strings.Cut(string(page), "\n## Settings of a process\n")
	if !found {
		t.Fatal("the page has no section on the settings of a process")
	}
	var rows []string
	for line := range strings.Lines(published) {
		if strings.HasPrefix(line, "| `") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	fields := Fields()
	for i := range max(len(fields), len(rows)) {
		want, got := "no row", "no row"
		if i < len(fields) {
			want = settingsRow(fields[i])
		}
		if i < len(rows) {
			got = rows[i]
		}
		if got != want {
			t.Errorf("row %d of the page is\n%s\nwant\n%s", i+1, got, want)
		}
	}
}

// settingsRow returns the row of the settings page for a field.
func settingsRow(f Field) string {
	if f.List() {
		return fmt.Sprintf("| `%s` | list of names | every team | at most %d names | %s |", f.Path, MaxListNames, f.Doc)
	}
	return fmt.Sprintf("| `%s` | %s | %d | %d to %d | %s |", f.Path, f.Unit, f.Default, f.Min, f.Max, f.Doc)
}

// TestDefaultsInRange guards against a default outside the range of its field,
// which a file could not set.
func TestDefaultsInRange(t *testing.T) {
	for _, f := range Fields() {
		if !f.List() && (f.Default < f.Min || f.Default > f.Max) {
			t.Errorf("%s: default %d is outside %s", f.Path, f.Default, f.Expected())
		}
	}
}
