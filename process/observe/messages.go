package observe

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/azurerouter/azurerouter/connection/wire"
)

// CountSent counts a message to another process in the metric MessagesSent.
func (o *Observer) CountSent(m wire.Message) { o.sent.counter(o, MessagesSent, m).Inc(1) }

// CountReceived counts a message from another process in the metric
// MessagesReceived.
func (o *Observer) CountReceived(m wire.Message) { o.received.counter(o, MessagesReceived, m).Inc(1) }

// kindCounters holds the counters of one metric by kind of message, because a lookup
// by tags costs as much as sending a small message.
type kindCounters struct{ byKind sync.Map }

func (k *kindCounters) counter(o *Observer, name string, m wire.Message) tally.Counter {
	kind := wire.KindName(m)
	if counter, known := k.byKind.Load(kind); known {
		return counter.(tally.Counter)
	}
	counter := o.Metrics.Tagged(map[string]string{TagKind: kind}).Counter(name)
	k.byKind.Store(kind, counter)
	return counter
}
