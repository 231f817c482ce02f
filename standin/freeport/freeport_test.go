package freeport

import "testing"

// Guards against two listeners of a test that get the same address: one of them failed to
// bind it, and its process ended.
func TestAddressesDiffer(t *testing.T) {
	const count = 200
	ports := NewRange(10_000, 10_000+2*count)
	seen := make(map[string]bool)
	for range count {
		addr, err := ports.Addr()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%s was returned twice", addr)
		}
		seen[addr] = true
	}
}

func TestRangeWithoutFreePorts(t *testing.T) {
	ports := NewRange(10_500, 10_500)
	if _, err := ports.Addr(); err != nil {
		t.Fatal(err)
	}
	if addr, err := ports.Addr(); err == nil {
		t.Errorf("got %s from a range whose only port is taken", addr)
	}
}
