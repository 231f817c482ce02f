package bench

import (
	"container/heap"
	"time"

	"github.com/azurerouter/azurerouter/request/job"
)

// idealResponseTimes returns the response time of every arrival under an ideal
// schedule, against which policies are compared: a single queue for all slots,
// without latency or faults, urgent before batch and each in order of arrival. A
// task that would end after its deadline is not started, and its response time is
// negative.
func idealResponseTimes(arrivals []arrival) []time.Duration {
	response := make([]time.Duration, len(arrivals))
	slotFreeAt := make(timeHeap, targets*slots)
	var urgent, batch []int
	next := 0
	for next < len(arrivals) || len(urgent)+len(batch) > 0 {
		now := slotFreeAt[0]
		if len(urgent)+len(batch) == 0 {
			now = max(now, arrivals[next].at)
		}
		for next < len(arrivals) && arrivals[next].at <= now {
			if arrivals[next].priority == job.Urgent {
				urgent = append(urgent, next)
			} else {
				batch = append(batch, next)
			}
			next++
		}
		var i int
		if len(urgent) > 0 {
			i, urgent = urgent[0], urgent[1:]
		} else {
			i, batch = batch[0], batch[1:]
		}
		a := arrivals[i]
		end := max(now, a.at) + a.runTime // The slot may have been idle since before the arrival.
		if end > a.deadline {
			response[i] = -1
			continue
		}
		response[i] = end - a.at
		slotFreeAt[0] = end
		heap.Fix(&slotFreeAt, 0)
	}
	return response
}

type timeHeap []time.Duration

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timeHeap) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *timeHeap) Pop() any {
	last := len(*h) - 1
	v := (*h)[last]
	*h = (*h)[:last]
	return v
}
