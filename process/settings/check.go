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

// check returns the first fault of a file: an unknown or repeated field, a value
// of the wrong type or out of range, or a missing value. A null counts as missing.
func check(root hujson.Value, text []byte, process Process) error {
	c := &checker{text: text, process: process, fields: Fields(process), seen: make(map[string]bool)}
	if err := c.object("", root); err != nil {
		return err
	}
	for _, f := range c.fields {
		if f.Required && !c.seen[f.Path] {
			return errors.Newf("%s is missing, expected %s", f.Path, f.Expected())
		}
	}
	return nil
}

func (c *checker) faultAt(offset int, format string, args ...any) error {
	line := 1 + bytes.Count(c.text[:offset], []byte("\n"))
	return errors.Newf("line %d: %s", line, fmt.Sprintf(format, args...))
}

// object checks the members of the object at a path; "" is the whole file.
func (c *checker) object(path string, v hujson.Value) error {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return c.faultAt(v.StartOffset, "%s is not an object", orFile(path))
	}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := strings.TrimPrefix(path+"."+name, ".")
		known := c.names(path)
		if !slices.Contains(known, name) {
			return c.unknown(member.Name.StartOffset, memberPath, name, known)
		}
		if c.seen[memberPath] {
			return c.faultAt(member.Name.StartOffset, "%s is set twice", memberPath)
		}
		if member.Value.Value.Kind() == 'n' {
			continue
		}
		c.seen[memberPath] = true
		if err := c.member(memberPath, member.Value); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) unknown(offset int, path, name string, known []string) error {
	nearest := ""
	if close := config.NearestName(name, known); close != "" {
		nearest = fmt.Sprintf(", nearest known name is %q", close)
	}
	return c.faultAt(offset, "unknown field %s%s; expected one of %s", path, nearest,
		strings.Join(known, ", "))
}

// names returns the names that the object at a path may have, sorted.
func (c *checker) names(path string) []string {
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

func (c *checker) member(path string, v hujson.Value) error {
	at := slices.IndexFunc(c.fields, func(f Field) bool { return f.Path == path })
	if at < 0 {
		return c.object(path, v)
	}
	f := c.fields[at]
	if !f.accepts(v) {
		return c.faultAt(v.StartOffset, "%s is %s, expected %s", path, shown(v), f.Expected())
	}
	return nil
}

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

func (f Field) acceptsText(v hujson.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	return ok && literal.Kind() == '"' && f.Form.accepts(literal.String())
}

// maxShownBytes keeps a message on one line when a value is an object or a list.
const maxShownBytes = 80

// shown returns a value without the comments around it.
func shown(v hujson.Value) string {
	text := hujson.Value{Value: v.Value}.String()
	if len(text) > maxShownBytes {
		return text[:maxShownBytes] + "..."
	}
	return text
}

func orFile(path string) string {
	if path == "" {
		return "the file"
	}
	return path
}
