package routing

import "testing"

// Guards against routing a request to a queue of the same host with a shorter
// matching prefix, or to a queue of another host.
func TestLookupPrefersLongestPrefixOfHost(t *testing.T) {
	table := NewTable(Config{Queues: []Queue{{Name: "short", Host: "a.example", PathPrefix: "/q/"}, {Name: "long", Host: "a.example", PathPrefix: "/q/x/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"}}})
	cases := []struct{ host, path, queue, rest string }{
		{"a.example", "/q/1", "short", "1"}, {"a.example", "/q/x/2", "long", "2"}, {"a.example", "/q/x", "short", "x"},
		{"b.example", "/q/x/2", "other", "q/x/2"}, {"a.example", "/r", "", ""}, {"c.example", "/q/1", "", ""},
	}
	for _, c := range cases {
		queue, rest, found := table.Lookup(c.host, c.path)
		if queue.Name != c.queue || rest != c.rest || found != (c.queue != "") {
			t.Errorf("%s%s: queue %q, rest %q, found %v", c.host, c.path, queue.Name, rest, found)
		}
	}
}
