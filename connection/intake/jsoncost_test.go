package intake

import (
	"encoding/json"
	"runtime"
	"strings"
	"testing"
)

var testBounds = JSONBounds{Depth: 64, Values: 4096}

// fuzzedJob has the shape of the bodies that clients send.
type fuzzedJob struct {
	Spec  string `json:"spec"`
	Steps []struct {
		Count     int
		Estimate  float64
		DependsOn []int
		Requires  string
		Label     [6]int
	} `json:"steps"`
	Labels []string `json:"labels"`
}

// FuzzDecodeCost guards against a text whose decoding allocates many times what was charged for
// it, and against bounds that refuse a small text.
func FuzzDecodeCost(f *testing.F) {
	for _, seed := range []string{`{}`, `{"steps":[{}` + strings.Repeat(",{}", 4000) + `]}`, `{"labels":[""` + strings.Repeat(`,""`, 4000) + `]}`,
		`{"steps":` + strings.Repeat("[", 20_000), `{"spec":"` + strings.Repeat(`\"`, 9000) + `"}`, `{"steps":[{"dependsOn":[1` + strings.Repeat(",1", 3000) + `]}]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		cost, err := testBounds.DecodeCost(text)
		if err != nil {
			if len(text) < testBounds.Values {
				t.Errorf("%d bytes are refused: %v", len(text), err)
			}
			return
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var into fuzzedJob
		_ = json.Unmarshal(text, &into)
		runtime.ReadMemStats(&after)
		// Other goroutines and the decoder itself allocate too, and small texts are not scanned.
		const own = 256 << 10
		if allocated := int64(after.TotalAlloc - before.TotalAlloc); allocated > 4*cost+own {
			t.Errorf("%d bytes: decoding allocates %d bytes, charged %d", len(text), allocated, cost)
		}
	})
}
