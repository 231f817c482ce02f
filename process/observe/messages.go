package observe

import "github.com/azurerouter/azurerouter/connection/wire"

// CountSent counts a message to another process in the metric MessagesSent.
func (o *Observer) CountSent(m wire.Message) { o.countMessage(MessagesSent, m) }

// CountReceived counts a message from another process in the metric
// MessagesReceived.
func (o *Observer) CountReceived(m wire.Message) { o.countMessage(MessagesReceived, m) }

func (o *Observer) countMessage(name string, m wire.Message) {
	o.Metrics.Tagged(map[string]string{TagKind: wire.KindName(m)}).Counter(name).Inc(1)
}
