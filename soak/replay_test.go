package soak

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

const replayDuration = 15 * time.Second

// Guards against changed outcomes of recorded fault scenarios: the reply to each
// call and the number of starts of each task must be as in testdata/outcomes.
func TestTraceOutcomes(t *testing.T) {
	datadriven.Walk(t, "testdata/outcomes", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var trace string
			seed := uint64(1)
			d.ScanArgs(t, "trace", &trace)
			d.MaybeScanArgs(t, "seed", &seed)
			file, err := os.Open(filepath.Join("testdata/traces", trace+".jsonl"))
			if err != nil {
				t.Fatal(err)
			}
			defer file.Close()
			steps, err := ReadTrace(file)
			if err != nil {
				t.Fatal(err)
			}
			var out strings.Builder
			WriteOutcomes(&out, Run(Options{Seed: seed, Duration: replayDuration, Trace: steps}))
			return out.String()
		})
	})
}
