package forwarding

// Peer is another entry as it has last reported itself.
type Peer struct {
	// SpareMilliCPU is the processor time that it does not use, in thousandths of a core, or 0
	// if it takes no submissions.
	SpareMilliCPU int
	// Pending is the number of submissions that were forwarded to it since it reported, and
	// are not answered.
	Pending int
}

// pendingMilliCPU is what a submission that a peer has not answered yet may take of its spare
// processor time.
const pendingMilliCPU = 1

// weight returns how much of its processor time a peer probably has to spare.
func (p Peer) weight() int { return max(0, p.SpareMilliCPU-pendingMilliCPU*p.Pending) }

// Choose returns the index of the peer for the next submission, or -1 if none has processor
// time to spare. random is in [0, 1): a peer is chosen as often as its spare time is of all,
// so that several entries in need do not all choose the same one.
func Choose(peers []Peer, random float64) int {
	total := 0
	for _, p := range peers {
		total += p.weight()
	}
	left := int(random * float64(total))
	for i, p := range peers {
		if left -= p.weight(); left < 0 {
			return i
		}
	}
	return -1
}

// minSpareMilliCPU is the spare processor time below which an entry takes no submissions of
// others.
const minSpareMilliCPU = 50

// Spare returns the spare processor time that an entry with a number of cores reports, in
// thousandths of a core, or 0 if it takes no submissions. use is the part of its share that it
// uses, and share the share of submissions that it forwards itself.
func Spare(cores, use, share float64) int {
	spare := int(1000 * cores * (1 - use))
	if share > 0 || spare < minSpareMilliCPU {
		return 0
	}
	return spare
}
