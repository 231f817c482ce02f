package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes is the largest encoded message, without the frame header.
const MaxFrameBytes = 16 << 20

const frameHeaderBytes = 5

// maxPreallocBytes is the payload size up to which Read allocates the size in
// the header at once. For larger payloads the buffer grows with the bytes that
// arrive, so that a peer cannot make Read allocate MaxFrameBytes by sending only
// a header.
const maxPreallocBytes = 64 << 10

// ErrFrame marks the errors of messages that exceed MaxFrameBytes or cannot be
// decoded.
var ErrFrame = errors.New("invalid frame")

type kind uint8

// Values of kind are part of the protocol and must not be renumbered.
const (
	kindHello kind = iota + 1
	kindMembers
	kindHeartbeat
	kindResume
	kindDispatch
	kindAnswers
	kindCancel
	kindLeaving
	kindFence
	kindFenced
	kindQuery
	kindQueryReply
	kindConfig
	kindQuota
	kindEntryHello
	kindEntryMembers
	kindRoutingUpdate
	kindEnroll
	kindOrders
	kindAgentReport
	kindJobCall
	kindJobReply
)

func (*Hello) kind() kind         { return kindHello }
func (*Members) kind() kind       { return kindMembers }
func (*Heartbeat) kind() kind     { return kindHeartbeat }
func (*Resume) kind() kind        { return kindResume }
func (*Dispatch) kind() kind      { return kindDispatch }
func (*Answers) kind() kind       { return kindAnswers }
func (*Cancel) kind() kind        { return kindCancel }
func (*Leaving) kind() kind       { return kindLeaving }
func (*Fence) kind() kind         { return kindFence }
func (*Fenced) kind() kind        { return kindFenced }
func (*Query) kind() kind         { return kindQuery }
func (*QueryReply) kind() kind    { return kindQueryReply }
func (*Config) kind() kind        { return kindConfig }
func (*Quota) kind() kind         { return kindQuota }
func (*EntryHello) kind() kind    { return kindEntryHello }
func (*EntryMembers) kind() kind  { return kindEntryMembers }
func (*RoutingUpdate) kind() kind { return kindRoutingUpdate }
func (*Enroll) kind() kind        { return kindEnroll }
func (*Orders) kind() kind        { return kindOrders }
func (*AgentReport) kind() kind   { return kindAgentReport }
func (*JobCall) kind() kind       { return kindJobCall }
func (*JobReply) kind() kind      { return kindJobReply }

var messageConstructors = map[kind]func() Message{
	kindHello:         func() Message { return new(Hello) },
	kindMembers:       func() Message { return new(Members) },
	kindHeartbeat:     func() Message { return new(Heartbeat) },
	kindResume:        func() Message { return new(Resume) },
	kindDispatch:      func() Message { return new(Dispatch) },
	kindAnswers:       func() Message { return new(Answers) },
	kindCancel:        func() Message { return new(Cancel) },
	kindLeaving:       func() Message { return new(Leaving) },
	kindFence:         func() Message { return new(Fence) },
	kindFenced:        func() Message { return new(Fenced) },
	kindQuery:         func() Message { return new(Query) },
	kindQueryReply:    func() Message { return new(QueryReply) },
	kindConfig:        func() Message { return new(Config) },
	kindQuota:         func() Message { return new(Quota) },
	kindEntryHello:    func() Message { return new(EntryHello) },
	kindEntryMembers:  func() Message { return new(EntryMembers) },
	kindRoutingUpdate: func() Message { return new(RoutingUpdate) },
	kindEnroll:        func() Message { return new(Enroll) },
	kindOrders:        func() Message { return new(Orders) },
	kindAgentReport:   func() Message { return new(AgentReport) },
	kindJobCall:       func() Message { return new(JobCall) },
	kindJobReply:      func() Message { return new(JobReply) },
}

var kindNames = map[kind]string{
	kindHello: "hello", kindMembers: "members", kindHeartbeat: "heartbeat", kindResume: "resume",
	kindDispatch: "dispatch", kindAnswers: "answers", kindCancel: "cancel", kindLeaving: "leaving",
	kindFence: "fence", kindFenced: "fenced", kindQuery: "query", kindQueryReply: "query_reply",
	kindConfig: "config", kindQuota: "quota", kindEntryHello: "entry_hello", kindEntryMembers: "entry_members",
	kindRoutingUpdate: "routing_update", kindEnroll: "enroll", kindOrders: "orders", kindAgentReport: "agent_report",
	kindJobCall: "durable_call", kindJobReply: "durable_reply",
}

// KindName returns the name of the message's type, for metrics and logs.
func KindName(m Message) string { return kindNames[m.kind()] }

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 10,
		MaxNestedLevels:  8,
		// Every comparison with NaN is false, so NaN would pass the bounds
		// checks on rates.
		NaN: cbor.NaNDecodeForbidden,
		Inf: cbor.InfDecodeForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Append appends the frame of a message to dst. On error dst is returned
// unchanged; the error is marked ErrFrame if the message exceeds MaxFrameBytes.
func Append(dst []byte, m Message) ([]byte, error) {
	payload, err := cbor.Marshal(m)
	if err != nil {
		return dst, errors.Wrapf(err, "encode %s", KindName(m))
	}
	if len(payload) > MaxFrameBytes {
		return dst, errors.Mark(errors.Newf("%s of %d bytes exceeds the frame limit of %d bytes", KindName(m), len(payload), MaxFrameBytes), ErrFrame)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(payload)))
	dst = append(dst, byte(m.kind()))
	return append(dst, payload...), nil
}

// Read reads and decodes one frame. The error is io.EOF if r ends between two
// frames, and io.ErrUnexpectedEOF if it ends within one. Other errors of r are
// returned unchanged. The error of an invalid frame is marked ErrFrame.
func Read(r io.Reader) (Message, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size > MaxFrameBytes {
		return nil, errors.Mark(errors.Newf("frame of %d bytes exceeds the limit of %d bytes", size, MaxFrameBytes), ErrFrame)
	}
	payload, err := readPayload(r, int(size))
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return decode(kind(header[4]), payload)
}

func readPayload(r io.Reader, size int) ([]byte, error) {
	if size <= maxPreallocBytes {
		payload := make([]byte, size)
		_, err := io.ReadFull(r, payload)
		return payload, err
	}
	var payload bytes.Buffer
	_, err := io.CopyN(&payload, r, int64(size))
	return payload.Bytes(), err
}

func decode(k kind, payload []byte) (Message, error) {
	newMessage, ok := messageConstructors[k]
	if !ok {
		return nil, errors.Mark(errors.Newf("unknown message kind %d", k), ErrFrame)
	}
	m := newMessage()
	if err := decodeMode.Unmarshal(payload, m); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "decode %s", kindNames[k]), ErrFrame)
	}
	return m, nil
}
