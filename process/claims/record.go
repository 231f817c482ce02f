package claims

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/azurerouter/azurerouter/connection/wire"
	"github.com/azurerouter/azurerouter/request/job"
)

// MaxPairsPerRecord bounds the claims of one record. At 32 bytes each they take
// 128 KiB, an eighth of what the client of the log service accepts.
const MaxPairsPerRecord = 4096

// pairBytes is the encoded size of a Pair.
const pairBytes = 32

// ErrInvalidRecord marks the error for a record that cannot be decoded. Every
// reader skips such a record.
var ErrInvalidRecord = errors.New("invalid claim record")

// Pair is one claim in a record: a key and the digest of the body submitted
// with it.
type Pair struct {
	Key    job.KeyHash
	Digest job.Digest
}

// Record is one batch of claims of one entry.
type Record struct {
	Entry wire.Incarnation
	// Nonce distinguishes the batches of one incarnation.
	Nonce uint64
	Pairs []Pair
}

// encodedRecord is the encoded form of a Record. Pairs are concatenated into
// one byte string, because a CBOR array of byte strings would need a quarter
// more space.
type encodedRecord struct {
	Entry wire.Incarnation `cbor:"1,keyasint"`
	Nonce uint64           `cbor:"2,keyasint"`
	Pairs []byte           `cbor:"3,keyasint"`
}

// decodeMode ignores unknown map keys, so that readers of an older version
// determine the same owners after a field has been added.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxMapPairs: 32,
		MaxArrayElements: 32, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodeRecord returns the CBOR form of a record.
func EncodeRecord(r Record) ([]byte, error) {
	form := encodedRecord{Entry: r.Entry, Nonce: r.Nonce, Pairs: make([]byte, 0, len(r.Pairs)*pairBytes)}
	for _, pair := range r.Pairs {
		form.Pairs = append(form.Pairs, pair.Key[:]...)
		form.Pairs = append(form.Pairs, pair.Digest[:]...)
	}
	data, err := cbor.Marshal(form)
	return data, errors.Wrap(err, "encode claim record")
}

// DecodeRecord decodes a record. Its error is marked ErrInvalidRecord.
func DecodeRecord(data []byte) (Record, error) {
	var form encodedRecord
	if err := decodeMode.Unmarshal(data, &form); err != nil {
		return Record{}, errors.Mark(errors.Wrap(err, "decode claim record"), ErrInvalidRecord)
	}
	count := len(form.Pairs) / pairBytes
	if form.Entry == 0 || count == 0 || count > MaxPairsPerRecord || len(form.Pairs)%pairBytes != 0 {
		return Record{}, errors.Mark(errors.Newf("claim record of entry %s has %d bytes of pairs",
			form.Entry, len(form.Pairs)), ErrInvalidRecord)
	}
	r := Record{Entry: form.Entry, Nonce: form.Nonce, Pairs: make([]Pair, count)}
	for i := range r.Pairs {
		packed := form.Pairs[i*pairBytes:]
		copy(r.Pairs[i].Key[:], packed)
		copy(r.Pairs[i].Digest[:], packed[len(job.KeyHash{}):pairBytes])
	}
	return r, nil
}
