package config

import "strings"

// tree holds settings by dotted path. It keeps withdrawing an object as cheap
// as setting it, however many names the folder has.
type tree struct {
	setting *setting
	members map[string]*tree
}

// get returns the node at a path, or nil.
func (t *tree) get(path string) *tree {
	for name := range strings.SplitSeq(path, ".") {
		if t = t.members[name]; t == nil {
			return nil
		}
	}
	return t
}

// value returns the setting at a path.
func (t *tree) value(path string) (setting, bool) {
	if node := t.get(path); node != nil && node.setting != nil {
		return *node.setting, true
	}
	return setting{}, false
}

func (t *tree) put(path string, s setting) {
	for name := range strings.SplitSeq(path, ".") {
		if t.members == nil {
			t.members = map[string]*tree{}
		}
		if t.members[name] == nil {
			t.members[name] = &tree{}
		}
		t = t.members[name]
	}
	t.setting = &s
}

// remove reports whether there was a setting at or below the path.
func (t *tree) remove(path string) bool {
	node := t.get(path)
	if node == nil || node.empty() {
		return false
	}
	node.setting, node.members = nil, nil
	return true
}

// empty reports whether there is no setting at or below the node.
func (t *tree) empty() bool {
	if t.setting != nil {
		return false
	}
	for _, member := range t.members {
		if !member.empty() {
			return false
		}
	}
	return true
}

// sources adds the file of every setting at or below the node to out.
func (t *tree) sources(path string, out map[string]string) {
	if t.setting != nil {
		out[path] = t.setting.file
	}
	for name, member := range t.members {
		member.sources(join(path, name), out)
	}
}
