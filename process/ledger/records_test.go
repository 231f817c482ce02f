package ledger

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/azurerouter/azurerouter/request/batch"
)

// Guards against a durable job that loses the rack of its data when another entry takes it
// over, and against records that processes of an earlier version, which lack the field,
// read or write differently.
func TestDataRackIsAnOptionalField(t *testing.T) {
	job := func(rack string) batch.Job {
		return batch.Job{ID: "j", Steps: []batch.Step{{Tasks: 1, DataRack: rack}}}
	}
	for _, rack := range []string{"", "r1-3"} {
		r, err := AcceptRecord(1, "a", AcceptedJob{Job: job(rack), Progress: Progress{State: Open}})
		if err != nil {
			t.Fatal(err)
		}
		a, err := decodeAcceptedJob("j", r.Value)
		if err != nil || a.Job.Steps[0].DataRack != rack {
			t.Errorf("rack %q: %+v, %v", rack, a, err)
		}
		var fields struct {
			Job struct{ Steps []map[string]any } `cbor:"1,keyasint"`
		}
		if err := cbor.Unmarshal(r.Value, &fields); err != nil {
			t.Fatal(err)
		}
		if _, present := fields.Job.Steps[0]["DataRack"]; present != (rack != "") {
			t.Errorf("rack %q: fields %v", rack, fields.Job.Steps[0])
		}
	}
}
