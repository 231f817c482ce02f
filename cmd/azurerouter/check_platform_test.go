package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/azurerouter/azurerouter/platform"
)

// Guards against a fault in a settings file of the platform that is reported without
// its file, line and expected type, and against daemons that start without settings.
func TestCheckPlatformSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	check := func() (code int, out string) {
		var stdout, stderr bytes.Buffer
		code = runSubcommand([]string{"check", "-platform", path}, &stdout, &stderr)
		return code, stdout.String() + stderr.String()
	}
	write(`{"node": "n-1", "ip": "10.1.0.2", "internalPorts": [7000, 7010], "platform": {"address": "10.2.0.1:80"}}`)
	if code, out := check(); code != exitOK || !strings.Contains(out, "10.1.0.2:7000") {
		t.Errorf("%d %s", code, out)
	}
	write("{\"node\": \"n-1\",\n\"ip\": 7}")
	if code, out := check(); code != exitFailed || !strings.Contains(out, path) || !strings.Contains(out, "line 2") || !strings.Contains(out, "expected string") {
		t.Errorf("%d %s", code, out)
	}
	for _, command := range []string{"entry", "agent"} {
		t.Setenv(platform.SettingsVariable, "")
		var stdout, stderr bytes.Buffer
		if code := runSubcommand([]string{command, "-platform"}, &stdout, &stderr); code != exitFailed || !strings.Contains(stderr.String(), "is not set") {
			t.Errorf("%s without settings: %d %s", command, code, stderr.String())
		}
		if code := runSubcommand([]string{command}, &stdout, &stderr); code != exitUsage {
			t.Errorf("%s without flags: %d", command, code)
		}
	}
}
