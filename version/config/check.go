package config

import "fmt"

// Check returns all faults of a folder, ordered by file and line: those that Merge
// reports, and files or a folder that exceed the bounds of a publication.
// Publishers do not publish a folder with faults. State.Apply does not call Check,
// so which publications take effect does not depend on it.
func Check(files []File) []Fault {
	var faults []Fault
	totalBytes, count := 0, 0
	seen := map[string]bool{}
	var nonEmpty []File
	for _, f := range sortedByName(files) {
		if f.Deleted() {
			continue
		}
		totalBytes += len(f.Content)
		count++
		if fault := checkFile(f, seen[f.Name]); fault != nil {
			faults = append(faults, *fault)
		}
		seen[f.Name] = true
		if len(f.Content) > 0 {
			nonEmpty = append(nonEmpty, f)
		}
	}
	if totalBytes > MaxFolderBytes {
		faults = append(faults, Fault{Message: fmt.Sprintf("all files together have %d bytes", totalBytes),
			Expected: fmt.Sprintf("at most %d bytes", MaxFolderBytes)})
	}
	if count > MaxFiles {
		faults = append(faults, Fault{Message: fmt.Sprintf("the folder has %d files", count),
			Expected: fmt.Sprintf("at most %d files", MaxFiles)})
	}
	_, mergeFaults := Merge(nonEmpty)
	return sortedFaults(append(faults, mergeFaults...))
}

// checkFile checks the name of a file, and that the file is neither repeated nor
// empty. It does not check the settings in it.
func checkFile(f File, repeated bool) *Fault {
	switch {
	case !ValidFileName(f.Name):
		return &Fault{File: f.Name, Message: "file name is not usable", Expected: fmt.Sprintf(
			"up to %d letters, digits, '.', '_' or '-', starting with a letter or digit and ending in .json or .jsonc",
			MaxNameBytes)}
	case repeated:
		return &Fault{File: f.Name, Message: "file appears twice", Expected: "each file once"}
	case len(f.Content) == 0:
		return &Fault{File: f.Name, Message: "file is empty", Expected: "object; an empty one is {}"}
	}
	return nil
}
