package config

import "strings"

// settingTree holds settings by the parts of their dotted path. The tree makes
// removing an object as cheap as setting it, regardless of the number of services
// and teams.
type settingTree struct {
	// setting is nil for an object that is not a service or team.
	setting  *setting
	children map[string]*settingTree
}

// get returns the node at a path, or nil.
func (t *settingTree) get(path string) *settingTree {
	for name := range strings.SplitSeq(path, ".") {
		if t = t.children[name]; t == nil {
			return nil
		}
	}
	return t
}

// lookup returns the setting at a path, and whether there is one.
func (t *settingTree) lookup(path string) (setting, bool) {
	if node := t.get(path); node != nil && node.setting != nil {
		return *node.setting, true
	}
	return setting{}, false
}

// put stores the setting at a path and adds the missing nodes of the path.
func (t *settingTree) put(path string, s setting) {
	for name := range strings.SplitSeq(path, ".") {
		if t.children == nil {
			t.children = map[string]*settingTree{}
		}
		if t.children[name] == nil {
			t.children[name] = &settingTree{}
		}
		t = t.children[name]
	}
	t.setting = &s
}

// remove removes the settings at and below a path, and reports whether there
// were any.
func (t *settingTree) remove(path string) bool {
	node := t.get(path)
	if node == nil || node.empty() {
		return false
	}
	node.setting, node.children = nil, nil
	return true
}

// empty reports whether there is no setting at or below the node.
func (t *settingTree) empty() bool {
	if t.setting != nil {
		return false
	}
	for _, child := range t.children {
		if !child.empty() {
			return false
		}
	}
	return true
}

// collectSources adds the file name of every setting at or below the node, whose
// path is given, to out.
func (t *settingTree) collectSources(path string, out map[string]string) {
	if t.setting != nil {
		out[path] = t.setting.file
	}
	for name, child := range t.children {
		child.collectSources(joinPath(path, name), out)
	}
}
