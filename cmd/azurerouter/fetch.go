package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/version/config"
)

// publishedSuffix is added to the name of a published file that is written next
// to a changed one. Such a file is not a settings file.
const publishedSuffix = ".published"

// fetch writes the published files to the folder and stores their versions as the
// base of the next publication. Files that were changed in the folder are kept; if
// they were published as well, the published file is written next to them.
func (p *publisher) fetch() int {
	local := filesByName(p.files)
	for _, f := range p.reader.state.Files() {
		// Readers of the log do not check names. An unusable one could be a path outside
		// the folder.
		if !config.ValidFileName(f.Name) {
			p.warn(errors.Newf("published file %q is passed over, because its name is not usable", f.Name))
			continue
		}
		localFile, exists := local[f.Name]
		if err := p.fetchFile(f, localFile.Content, exists); err != nil {
			return p.fail(err)
		}
	}
	if err := p.base.write(p.dir); err != nil {
		return p.fail(err)
	}
	fmt.Fprintf(p.stdout, "fetched the files as of offset %d\n", p.reader.state.Offset())
	return exitOK
}

// fetchFile writes one published file and stores its version.
func (p *publisher) fetchFile(f config.File, local []byte, exists bool) error {
	base, known := p.base.Files[f.Name]
	if known && base.Version == f.Version {
		return nil
	}
	path := filepath.Join(p.dir, f.Name)
	unchanged := exists && known && base.SHA256 == digest(local)
	changedLocally := exists && !unchanged || !exists && known
	switch {
	case f.Deleted():
		return p.fetchDeletion(f, path, unchanged, exists)
	case exists && bytes.Equal(local, f.Content):
		p.base.set(f)
		return nil
	case changedLocally:
		p.base.set(f)
		fmt.Fprintf(p.stdout, "%s: changed or deleted here and published at offset %d; the published file is %s\n",
			f.Name, f.Version, f.Name+publishedSuffix)
		path += publishedSuffix
	default:
		p.base.set(f)
	}
	return os.WriteFile(path, f.Content, 0o644)
}

// fetchDeletion removes a file whose published version was deleted, unless the file was
// changed in the folder.
func (p *publisher) fetchDeletion(f config.File, path string, unchanged, exists bool) error {
	delete(p.base.Files, f.Name)
	if unchanged {
		return os.Remove(path)
	}
	if exists {
		fmt.Fprintf(p.stdout, "%s: changed here and deleted at offset %d; publishing restores it\n", f.Name, f.Version)
	}
	return nil
}
