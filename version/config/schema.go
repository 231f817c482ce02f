package config

import (
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// schema is a node of the tree of known settings. Exactly one of its members
// is set: children for an object of fixed fields, entry for an object whose
// members have free names, field for a value.
type schema struct {
	children map[string]*schema
	entry    *schema
	field    *Field
}

const anyName = "*"

var root = buildSchema(Fields())

func buildSchema(fields []Field) *schema {
	top := &schema{}
	for i := range fields {
		node := top
		for _, name := range strings.Split(fields[i].Path, ".") {
			node = node.child(name)
		}
		node.field = &fields[i]
	}
	return top
}

// child returns the member of an object, and adds it if there is none.
func (s *schema) child(name string) *schema {
	if name == anyName {
		if s.entry == nil {
			s.entry = &schema{}
		}
		return s.entry
	}
	if s.children == nil {
		s.children = map[string]*schema{}
	}
	if s.children[name] == nil {
		s.children[name] = &schema{}
	}
	return s.children[name]
}

// names returns the fixed field names of an object, sorted.
func (s *schema) names() []string {
	var names []string
	for name := range s.children {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Nearest returns the known name with the smallest edit distance, or "" if none
// is close enough to be a likely misspelling.
func Nearest(name string, known []string) string {
	best, bestDistance := "", max(2, len(name)/3)+1
	for _, candidate := range known {
		if distance := levenshtein.ComputeDistance(name, candidate); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}
