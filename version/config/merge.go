package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// maxFaultPath bounds the path in a fault, in bytes. Any path of a known field
// fits; names of unknown fields may be as long as the file.
const maxFaultPath = 256

// setting is a value that a file sets. The setting of a service or team itself
// has neither number nor list and says which file introduced the name.
type setting struct {
	number int64
	list   []string
	file   string
	line   int
}

// merger collects the settings of all files by dotted path.
type merger struct {
	set    tree
	faults []Fault
	values []Value
	file   *parsedFile
}

// Merge merges the files in name order. Objects are merged member by member; a
// later value replaces an earlier one, and null withdraws it. Merge is total: a
// file that does not parse, an unknown field and a value out of range are
// ignored and reported, and the rest takes effect.
func Merge(files []File) (Merged, []Fault) {
	m := &merger{}
	for _, f := range sortedByName(files) {
		if !f.Deleted() {
			m.addFile(f)
		}
	}
	merged := Merged{Config: m.build(), Source: map[string]string{}}
	merged.values = m.values
	m.set.sources("", merged.Source)
	return merged, sortedFaults(m.faults)
}

func sortedByName(files []File) []File {
	sorted := slices.Clone(files)
	slices.SortStableFunc(sorted, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

// sortedFaults orders faults by file and line.
func sortedFaults(faults []Fault) []Fault {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return faults
}

func (m *merger) addFile(f File) {
	parsed, fault := parseFile(f)
	if fault != nil {
		m.faults = append(m.faults, *fault)
		return
	}
	m.file = parsed
	if isNull(parsed.root) {
		m.fault(parsed.root, "", "the file is null", "object")
		return
	}
	m.add("", root, parsed.root)
}

// add merges one value at a path.
func (m *merger) add(path string, node *schema, v hujson.Value) {
	switch {
	case isNull(v):
		m.withdraw(path, v)
	case node.field != nil:
		m.addField(path, node.field, v)
	default:
		m.addObject(path, node, v)
	}
}

func (m *merger) addObject(path string, node *schema, v hujson.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		m.fault(v, path, "value is a "+kindOf(v), "object")
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name, _ := text(member.Name)
		memberPath := join(path, name)
		if seen[name] {
			m.fault(member.Name, memberPath, "field appears twice in one object", "each field once")
		}
		seen[name] = true
		m.addMember(memberPath, name, node, member)
	}
}

func (m *merger) addMember(path, name string, node *schema, member hujson.ObjectMember) {
	if node.entry != nil {
		m.addEntry(path, name, node.entry, member)
		return
	}
	child := node.children[name]
	if child == nil {
		m.unknownField(path, name, node, member.Name)
		return
	}
	m.add(path, child, member.Value)
}

// addEntry merges a service or team.
func (m *merger) addEntry(path, name string, node *schema, member hujson.ObjectMember) {
	if !validEntryName(name) {
		m.fault(member.Name, path, "name is not usable",
			fmt.Sprintf("1 to %d letters, digits, '_' or '-', starting with a letter or digit", MaxNameBytes))
		return
	}
	_, known := m.set.value(path)
	if _, isObject := member.Value.Value.(*hujson.Object); isObject && !known {
		m.set.put(path, setting{file: m.file.name, line: m.file.line(member.Name.StartOffset)})
	}
	m.add(path, node, member.Value)
}

func (m *merger) unknownField(path, name string, node *schema, at hujson.Value) {
	message := "unknown field"
	if close := Nearest(name, node.names()); close != "" {
		message += fmt.Sprintf(", nearest known name is %q", close)
	}
	m.fault(at, path, message, "one of "+strings.Join(node.names(), ", "))
}

func (m *merger) addField(path string, field *Field, v hujson.Value) {
	s := setting{file: m.file.name, line: m.file.line(v.StartOffset)}
	if field.List() {
		list, ok := m.list(path, field, v)
		if !ok {
			return
		}
		s.list = list
		m.set.put(path, s)
		return
	}
	n, ok := number(v)
	switch {
	case !ok && kindOf(v) == "number":
		m.fault(v, path, "value is not a whole number", field.Expected())
	case !ok:
		m.fault(v, path, "value is a "+kindOf(v), field.Expected())
	case n < field.Min || n > field.Max:
		m.fault(v, path, fmt.Sprintf("%d is out of range", n), field.Expected())
	default:
		s.number = n
		m.set.put(path, s)
	}
}

// list reads a list of names. A list with a bad element is refused as a whole,
// because it would otherwise admit other names than its author meant.
func (m *merger) list(path string, field *Field, v hujson.Value) ([]string, bool) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		m.fault(v, path, "value is a "+kindOf(v), field.Expected())
		return nil, false
	}
	if len(array.Elements) > MaxListNames {
		m.fault(v, path, fmt.Sprintf("list has %d names", len(array.Elements)), fmt.Sprintf("at most %d names", MaxListNames))
		return nil, false
	}
	names := []string{}
	for _, element := range array.Elements {
		name, ok := text(element)
		if !ok || !validEntryName(name) || slices.Contains(names, name) {
			m.fault(element, path, "element is repeated or no name", field.Expected())
			return nil, false
		}
		names = append(names, name)
	}
	return names, true
}

// withdraw removes the settings at and below a path.
func (m *merger) withdraw(path string, v hujson.Value) {
	if !m.set.remove(path) {
		m.fault(v, path, "null withdraws nothing", "a value that an earlier file sets")
	}
}

func (m *merger) fault(at hujson.Value, path, message, expected string) {
	path = path[:min(len(path), maxFaultPath)]
	m.faults = append(m.faults, Fault{File: m.file.name, Line: m.file.line(at.StartOffset), Field: path,
		Message: message, Expected: expected})
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
