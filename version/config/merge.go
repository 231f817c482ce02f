package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// maxFaultPathBytes bounds the path in a fault. The path of any known field fits;
// the name of an unknown field may be as long as the file.
const maxFaultPathBytes = 256

// setting is a value that a file sets: a number or a list, with the name of the
// file and the line. A service or team itself also has a setting, with neither
// number nor list, whose file is the one that defines its name.
type setting struct {
	number int64
	list   []string
	file   string
	line   int
}

// merger collects the settings of all files and builds the configuration.
type merger struct {
	settings settingTree
	faults   []Fault
	values   []Value
	// currentFile is the file that is being merged.
	currentFile *parsedFile
}

// Merge merges the files in name order. Objects are merged member by member; a
// later value replaces an earlier one, and null removes it. Merge never fails: it
// ignores a file that does not parse, an unknown field and a value out of range,
// reports them as faults, and applies the rest.
func Merge(files []File) (MergeResult, []Fault) {
	m := &merger{}
	for _, f := range sortedByName(files) {
		if !f.Deleted() {
			m.mergeFile(f)
		}
	}
	merged := MergeResult{Config: m.buildConfig(), SourceFiles: map[string]string{}}
	merged.values = m.values
	m.settings.collectSources("", merged.SourceFiles)
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

func (m *merger) mergeFile(f File) {
	parsed, fault := parseFile(f)
	if fault != nil {
		m.faults = append(m.faults, *fault)
		return
	}
	m.currentFile = parsed
	if isNull(parsed.root) {
		m.addFault(parsed.root, "", "the file is null", "object")
		return
	}
	m.mergeValue("", rootSchema, parsed.root)
}

// mergeValue merges the value at a path, which node describes.
func (m *merger) mergeValue(path string, node *schema, v hujson.Value) {
	switch {
	case isNull(v):
		m.removeSettings(path, v)
	case node.field != nil:
		m.mergeField(path, node.field, v)
	default:
		m.mergeObject(path, node, v)
	}
}

func (m *merger) mergeObject(path string, node *schema, v hujson.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		m.addFault(v, path, "value is a "+typeName(v), "object")
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name, _ := stringLiteral(member.Name)
		memberPath := joinPath(path, name)
		if seen[name] {
			m.addFault(member.Name, memberPath, "field appears twice in one object", "each field once")
		}
		seen[name] = true
		m.mergeMember(memberPath, name, node, member)
	}
}

func (m *merger) mergeMember(path, name string, node *schema, member hujson.ObjectMember) {
	if node.wildcardChild != nil {
		m.mergeServiceOrTeam(path, name, node.wildcardChild, member)
		return
	}
	child := node.children[name]
	if child == nil {
		m.addUnknownField(path, name, node, member.Name)
		return
	}
	m.mergeValue(path, child, member.Value)
}

// mergeServiceOrTeam merges the object of one service or team, and records which
// file defines the name.
func (m *merger) mergeServiceOrTeam(path, name string, node *schema, member hujson.ObjectMember) {
	if !validName(name) {
		m.addFault(member.Name, path, "name is not usable",
			fmt.Sprintf("1 to %d letters, digits, '_' or '-', starting with a letter or digit", MaxNameBytes))
		return
	}
	_, defined := m.settings.lookup(path)
	if _, isObject := member.Value.Value.(*hujson.Object); isObject && !defined {
		m.settings.put(path, setting{file: m.currentFile.name, line: m.currentFile.line(member.Name.StartOffset)})
	}
	m.mergeValue(path, node, member.Value)
}

// addUnknownField reports an unknown field, with the nearest known name.
func (m *merger) addUnknownField(path, name string, node *schema, at hujson.Value) {
	message := "unknown field"
	if nearest := NearestName(name, node.childNames()); nearest != "" {
		message += fmt.Sprintf(", nearest known name is %q", nearest)
	}
	m.addFault(at, path, message, "one of "+strings.Join(node.childNames(), ", "))
}

func (m *merger) mergeField(path string, field *Field, v hujson.Value) {
	s := setting{file: m.currentFile.name, line: m.currentFile.line(v.StartOffset)}
	if field.List() {
		list, ok := m.parseNameList(path, field, v)
		if !ok {
			return
		}
		s.list = list
		m.settings.put(path, s)
		return
	}
	n, ok := integerLiteral(v)
	switch {
	case !ok && typeName(v) == "number":
		m.addFault(v, path, "value is not a whole number", field.Expected())
	case !ok:
		m.addFault(v, path, "value is a "+typeName(v), field.Expected())
	case n < field.Min || n > field.Max:
		m.addFault(v, path, fmt.Sprintf("%d is out of range", n), field.Expected())
	default:
		s.number = n
		m.settings.put(path, s)
	}
}

// parseNameList returns the names in a list. A list with an invalid element is
// rejected as a whole, because without that element it could admit other names
// than its author meant.
func (m *merger) parseNameList(path string, field *Field, v hujson.Value) ([]string, bool) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		m.addFault(v, path, "value is a "+typeName(v), field.Expected())
		return nil, false
	}
	if len(array.Elements) > MaxListNames {
		m.addFault(v, path, fmt.Sprintf("list has %d names", len(array.Elements)), fmt.Sprintf("at most %d names", MaxListNames))
		return nil, false
	}
	names := []string{}
	for _, element := range array.Elements {
		name, ok := stringLiteral(element)
		if !ok || !validName(name) || slices.Contains(names, name) {
			m.addFault(element, path, "element is repeated or no name", field.Expected())
			return nil, false
		}
		names = append(names, name)
	}
	return names, true
}

// removeSettings removes the settings at and below a path that is set to null.
func (m *merger) removeSettings(path string, v hujson.Value) {
	if !m.settings.remove(path) {
		m.addFault(v, path, "null withdraws nothing", "a value that an earlier file sets")
	}
}

// addFault adds a fault at the position of a value in the current file.
func (m *merger) addFault(at hujson.Value, path, message, expected string) {
	path = path[:min(len(path), maxFaultPathBytes)]
	m.faults = append(m.faults, Fault{File: m.currentFile.name, Line: m.currentFile.line(at.StartOffset), Field: path,
		Message: message, Expected: expected})
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
