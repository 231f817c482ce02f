package settings

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/azurerouter/azurerouter/version/config"
)

// checker checks the settings of one file.
type checker struct {
	text    []byte
	process Process
	fields  []Field
	seen    map[string]bool
}

// check returns the first error of a file: an unknown or repeated field, a value
// of the wrong type or out of range, or a missing value. A null counts as
// missing.
func check(root hujson.Value, text []byte, process Process) error {
	c := &checker{text: text, process: process, fields: Fields(process), seen: make(map[string]bool)}
	if err := c.checkObject("", root); err != nil {
		return err
	}
	for _, f := range c.fields {
		if f.Required && !c.seen[f.Path] {
			return errors.Newf("%s is missing, expected %s", f.Path, f.Expected())
		}
	}
	return nil
}

// errorAt returns an error with the line of a byte offset in the file.
func (c *checker) errorAt(offset int, format string, args ...any) error {
	line := 1 + bytes.Count(c.text[:offset], []byte("\n"))
	return errors.Newf("line %d: %s", line, fmt.Sprintf(format, args...))
}

// checkObject checks the members of the object at a path; "" is the whole file.
func (c *checker) checkObject(path string, v hujson.Value) error {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return c.errorAt(v.StartOffset, "%s is not an object", pathOrFile(path))
	}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := strings.TrimPrefix(path+"."+name, ".")
		known := c.memberNames(path)
		if !slices.Contains(known, name) {
			return c.unknownField(member.Name.StartOffset, memberPath, name, known)
		}
		if c.seen[memberPath] {
			return c.errorAt(member.Name.StartOffset, "%s is set twice", memberPath)
		}
		if member.Value.Value.Kind() == 'n' {
			continue
		}
		c.seen[memberPath] = true
		if err := c.checkMember(memberPath, member.Value); err != nil {
			return err
		}
	}
	return nil
}

// unknownField returns an error with the nearest known name and all known names.
func (c *checker) unknownField(offset int, path, name string, known []string) error {
	nearest := ""
	if close := config.NearestName(name, known); close != "" {
		nearest = fmt.Sprintf(", nearest known name is %q", close)
	}
	return c.errorAt(offset, "unknown field %s%s; expected one of %s", path, nearest,
		strings.Join(known, ", "))
}

// memberNames returns the names that members of the object at a path may have,
// sorted.
func (c *checker) memberNames(path string) []string {
	var names []string
	for _, f := range c.fields {
		rest := f.Path
		if path != "" {
			var inside bool
			if rest, inside = strings.CutPrefix(f.Path, path+"."); !inside {
				continue
			}
		}
		name, _, _ := strings.Cut(rest, ".")
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// checkMember checks the value at a path, which is a setting or an object of
// settings.
func (c *checker) checkMember(path string, v hujson.Value) error {
	index := slices.IndexFunc(c.fields, func(f Field) bool { return f.Path == path })
	if index < 0 {
		return c.checkObject(path, v)
	}
	f := c.fields[index]
	if !f.accepts(v) {
		return c.errorAt(v.StartOffset, "%s is %s, expected %s", path, displayValue(v), f.Expected())
	}
	return nil
}

// accepts reports whether a value has the type, range or form of the setting.
func (f Field) accepts(v hujson.Value) bool {
	if f.List {
		list, ok := v.Value.(*hujson.Array)
		bad := func(element hujson.Value) bool { return !f.acceptsText(element) }
		return ok && !(f.Required && len(list.Elements) == 0) && !slices.ContainsFunc(list.Elements, bad)
	}
	if f.Unit == "" {
		return f.acceptsText(v)
	}
	literal, ok := v.Value.(hujson.Literal)
	n, err := strconv.ParseInt(string(literal), 10, 64)
	return ok && err == nil && n >= f.Min && n <= f.Max
}

// acceptsText reports whether a value is a string of the form of the setting.
func (f Field) acceptsText(v hujson.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	return ok && literal.Kind() == '"' && f.Form.accepts(literal.String())
}

// maxDisplayBytes limits the length of a value in an error message, so that the
// message stays on one line when the value is an object or a list.
const maxDisplayBytes = 80

// displayValue returns a value as it is shown in an error message, without the
// comments around it.
func displayValue(v hujson.Value) string {
	text := hujson.Value{Value: v.Value}.String()
	if len(text) > maxDisplayBytes {
		return text[:maxDisplayBytes] + "..."
	}
	return text
}

// pathOrFile returns the path, or a name for the whole file if the path is
// empty.
func pathOrFile(path string) string {
	if path == "" {
		return "the file"
	}
	return path
}
