package config

import (
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// schema is a node in the tree of known settings. Exactly one of its fields is
// set.
type schema struct {
	// children holds the members of an object with fixed field names.
	children map[string]*schema
	// wildcardChild is the schema of every member of an object whose member names
	// are the names of services or teams.
	wildcardChild *schema
	// field describes a value.
	field *Field
}

// nameWildcard stands for the name of a service or team in Field.Path.
const nameWildcard = "*"

var rootSchema = buildSchema(Fields())

func buildSchema(fields []Field) *schema {
	root := &schema{}
	for i := range fields {
		node := root
		for _, name := range strings.Split(fields[i].Path, ".") {
			node = node.getOrAddChild(name)
		}
		node.field = &fields[i]
	}
	return root
}

// getOrAddChild returns the member of an object with the given name, and adds it
// if there is none.
func (s *schema) getOrAddChild(name string) *schema {
	if name == nameWildcard {
		if s.wildcardChild == nil {
			s.wildcardChild = &schema{}
		}
		return s.wildcardChild
	}
	if s.children == nil {
		s.children = map[string]*schema{}
	}
	if s.children[name] == nil {
		s.children[name] = &schema{}
	}
	return s.children[name]
}

// childNames returns the fixed field names of an object, sorted.
func (s *schema) childNames() []string {
	var names []string
	for name := range s.children {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// NearestName returns the known name with the smallest edit distance to name, or
// "" if the distance is too large for name to be a likely misspelling. The limit
// is 2 edits, or a third of the length of name in bytes if that is more.
func NearestName(name string, known []string) string {
	best, bestDistance := "", max(2, len(name)/3)+1
	for _, candidate := range known {
		if distance := levenshtein.ComputeDistance(name, candidate); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}
