package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/version/config"
)

// baseVersionsFile stores in a settings folder the published versions that the
// folder was made from. Its name starts with a dot, so it is not a settings file.
const baseVersionsFile = ".published"

// readFolder returns the settings files of a folder in name order. It omits hidden
// files and files that do not end in .json or .jsonc.
func readFolder(dir string) ([]config.File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings folder")
	}
	var files []config.File
	for _, entry := range entries {
		if !isSettingsFile(entry) {
			continue
		}
		content, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "read a settings file")
		}
		files = append(files, config.File{Name: entry.Name(), Content: content})
	}
	return files, nil
}

func isSettingsFile(entry fs.DirEntry) bool {
	name := entry.Name()
	if entry.IsDir() || strings.HasPrefix(name, ".") {
		return false
	}
	return strings.HasSuffix(name, ".json") || strings.HasSuffix(name, ".jsonc")
}

// baseVersions holds the published versions that a folder was made from, by file name.
type baseVersions struct {
	Files map[string]baseVersion `json:"files"`
}

// baseVersion is the version and digest of one file when it was last published from,
// or fetched into, the folder.
type baseVersion struct {
	Version uint64 `json:"version"`
	SHA256  string `json:"sha256"`
}

func digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

func (b *baseVersions) set(f config.File) {
	b.Files[f.Name] = baseVersion{Version: f.Version, SHA256: digest(f.Content)}
}

// readBaseVersions returns an empty list for a folder without a file of base versions.
func readBaseVersions(dir string) (*baseVersions, error) {
	b := &baseVersions{Files: map[string]baseVersion{}}
	data, err := os.ReadFile(filepath.Join(dir, baseVersionsFile))
	if errors.Is(err, fs.ErrNotExist) {
		return b, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the published versions")
	}
	if err := json.Unmarshal(data, b); err != nil {
		return nil, errors.Wrapf(err, "decode %s", baseVersionsFile)
	}
	if b.Files == nil {
		b.Files = map[string]baseVersion{}
	}
	return b, nil
}

// write replaces the file by a rename, so that an interrupted command leaves the old
// versions.
func (b *baseVersions) write(dir string) error {
	data, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the published versions")
	}
	path := filepath.Join(dir, baseVersionsFile)
	if err := os.WriteFile(path+".new", append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write the published versions")
	}
	return errors.Wrap(os.Rename(path+".new", path), "write the published versions")
}
