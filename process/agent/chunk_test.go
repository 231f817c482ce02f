package agent

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against messages above the frame limit, which would end the connection
// over which results are transferred, and against results that are lost by
// splitting a list.
func TestChunkProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, maxChunkBytes*2), 0, 20).Draw(t, "sizes")
		var joined []int
		parts := chunk(sizes, func(n int) int { return n })
		if len(parts) == 0 {
			t.Fatal("no part, so a reply without results would not be sent")
		}
		for _, part := range parts {
			total := 0
			for _, n := range part {
				total += n
			}
			if total > maxChunkBytes && len(part) > 1 {
				t.Fatalf("part of %d items has %d bytes", len(part), total)
			}
			joined = append(joined, part...)
		}
		if len(joined) != len(sizes) {
			t.Fatalf("%d of %d items", len(joined), len(sizes))
		}
		for i := range sizes {
			if joined[i] != sizes[i] {
				t.Fatalf("item %d differs", i)
			}
		}
	})
}
