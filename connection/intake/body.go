package intake

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge is the error of a body that exceeds its limit.
var ErrTooLarge = errors.New("http: request body too large")

// firstBufferBytes is the first buffer of a body. Ordinary bodies fit into it.
const firstBufferBytes = 4 << 10

// RetryAfter is when a client may send a request again that was given up with ErrNoRoom. Slow
// requests give way within this time.
const RetryAfter = time.Second

// freeBodyBytes is what a body takes, with its decoding, without a charge. Ordinary requests stay
// below it, so that they share no lock.
const freeBodyBytes = 16 << 10

// Body is the whole body of a request. It takes a part of the budget until Close.
type Body struct {
	Data []byte
	// conn is the connection of the request, or nil if nothing is charged.
	conn *Conn
	// charge is nil until the body has taken more than freeBodyBytes. uncharged is what it has
	// taken until then.
	charge    *charge
	uncharged int64
}

// ReadBody reads the body of a request of at most limit bytes. The error is ErrTooLarge, ErrNoRoom,
// or that of the connection. After an error the server closes the connection of w, which may be nil,
// with the response, so that it does not wait for the rest of the body. A request that did not
// come through a Listener takes no part of a budget.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	b, err := readBody(r, limit)
	if err != nil && w != nil {
		w.Header().Set("Connection", "close")
	}
	return b, err
}

func readBody(r *http.Request, limit int64) (*Body, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	conn := connOf(r.Context())
	if conn != nil && phase(conn.phase.Load()) == phaseBody {
		// The time of the body counts from its first read: the handler may have waited before.
		conn.setPhase(phaseBody)
	}
	b := &Body{conn: conn}
	if err := b.read(r, limit); err != nil {
		evicted := b.charge != nil && b.charge.wasEvicted()
		b.Close()
		if evicted {
			return nil, ErrNoRoom
		}
		return nil, err
	}
	if b.charge != nil && !b.charge.finish() {
		b.Close()
		return nil, ErrNoRoom
	}
	if conn != nil {
		conn.setPhase(phaseBusy)
	}
	return b, nil
}

// read reads the body into Data. The buffer grows with the bytes that arrive.
func (b *Body) read(r *http.Request, limit int64) error {
	for {
		if len(b.Data) == cap(b.Data) && int64(len(b.Data)) != r.ContentLength {
			if err := b.enlarge(r.ContentLength, limit); err != nil {
				return err
			}
		}
		free := b.Data[len(b.Data):cap(b.Data)]
		var end [1]byte
		if len(free) == 0 {
			// The body is as long as announced. Only its end is left to read.
			free = end[:]
		}
		n, err := r.Body.Read(free)
		b.Data = b.Data[:min(len(b.Data)+n, cap(b.Data))]
		if b.charge != nil && n > 0 {
			b.charge.note(n)
		}
		if int64(len(b.Data)) > limit {
			return ErrTooLarge
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// enlarge doubles the buffer, up to the announced length or one byte more than the limit.
func (b *Body) enlarge(announced, limit int64) error {
	size := max(2*int64(cap(b.Data)), firstBufferBytes)
	if announced > 0 {
		size = min(size, announced)
	}
	size = min(size, limit+1)
	if err := b.Charge(size); err != nil {
		return err
	}
	data := make([]byte, len(b.Data), size)
	copy(data, b.Data)
	released := int64(cap(b.Data))
	b.Data = data
	b.Release(released)
	return nil
}

// Charge takes n more bytes of the budget, for what is made from the body. It returns an error
// marked ErrNoRoom if there is no room.
func (b *Body) Charge(n int64) error {
	if b.conn == nil {
		return nil
	}
	if b.charge == nil {
		if b.uncharged+n <= freeBodyBytes {
			b.uncharged += n
			return nil
		}
		b.openCharge()
		n += b.uncharged
	}
	return b.charge.grow(time.Now(), n)
}

// Release returns n bytes to the budget.
func (b *Body) Release(n int64) {
	switch {
	case n == 0:
	case b.charge != nil:
		b.charge.shrink(n)
	default:
		b.uncharged -= n
	}
}

// openCharge starts the charge of a body that is not small. Its time counts from the end of the
// head.
func (b *Body) openCharge() {
	b.charge = b.conn.listener.intake.budget.open(b.conn.view().since, b.conn.address, b.conn.interrupt)
	b.conn.mu.Lock()
	b.charge.head = b.conn.head
	b.conn.mu.Unlock()
	b.charge.note(len(b.Data))
	if phase(b.conn.phase.Load()) == phaseBusy {
		b.charge.finish()
	}
}

// DecodeJSON decodes the body within the bounds, and charges what decoding allocates. The error is
// ErrNoRoom if the budget has no room, ErrTooComplex, or that of package json. Afterwards only
// the length of the text is charged, for what is kept of it.
func (b *Body) DecodeJSON(bounds JSONBounds, into any) error {
	cost, err := bounds.DecodeCost(b.Data)
	if err != nil {
		return err
	}
	if err := b.Charge(cost); err != nil {
		return err
	}
	defer b.Release(cost)
	return json.Unmarshal(b.Data, into)
}

// Close returns everything to the budget.
func (b *Body) Close() {
	if b.charge != nil {
		b.charge.close()
		b.charge = nil
	}
}
