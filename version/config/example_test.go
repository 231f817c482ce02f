package config_test

import (
	"fmt"

	"github.com/azurerouter/azurerouter/version/config"
)

// A later file replaces a value of an earlier one, and its unknown field is
// reported.
func ExampleMerge() {
	merged, faults := config.Merge([]config.File{
		{Name: "10-base.json", Content: []byte(`{"services": {"card": {"queue_limit": 500}}}`)},
		{Name: "20-peak.json", Content: []byte(`{"services": {"card": {"queue_limit": 900, "max_backlg": 2}}} // peak season`)},
	})
	fmt.Println(merged.Config.Services["card"].QueueLimit, merged.SourceFiles["services.card.queue_limit"])
	fmt.Println(faults[0].File, faults[0].Line, faults[0].Field, faults[0].Message)
	// Output:
	// 900 20-peak.json
	// 20-peak.json 1 services.card.max_backlg unknown field, nearest known name is "max_backlog"
}

// Two operators change the same file against the same version; only the first
// record in the log is accepted.
func ExampleState_Apply() {
	state := config.NewState()
	for i, operator := range []string{"anna", "ben"} {
		record, err := config.EncodeChange(config.Change{
			ID:           operator,
			BaseVersions: map[string]uint64{"10-base.json": 0},
			Put:          map[string][]byte{"10-base.json": []byte("{}")},
		})
		if err != nil {
			fmt.Println(err)
			return
		}
		outcome, err := state.Apply(uint64(i+1), 1, record)
		fmt.Println(outcome.ID, outcome.Accepted, outcome.ConflictingFile, err)
	}
	// Output:
	// anna true  <nil>
	// ben false 10-base.json <nil>
}
