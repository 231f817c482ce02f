package config

import "fmt"

// Check returns everything that is wrong with a folder, ordered by file and
// line: what Merge reports, and the bounds of a publication. Publishers publish
// nothing that has faults. The verdict on a publication does not depend on
// Check.
func Check(files []File) []Fault {
	var faults []Fault
	total, count := 0, 0
	seen := map[string]bool{}
	var present []File
	for _, f := range sortedByName(files) {
		if f.Deleted() {
			continue
		}
		total += len(f.Content)
		count++
		if fault := checkFile(f, seen[f.Name]); fault != nil {
			faults = append(faults, *fault)
		}
		seen[f.Name] = true
		if len(f.Content) > 0 {
			present = append(present, f)
		}
	}
	if total > MaxFolderBytes {
		faults = append(faults, Fault{Message: fmt.Sprintf("all files together have %d bytes", total),
			Expected: fmt.Sprintf("at most %d bytes", MaxFolderBytes)})
	}
	if count > MaxFiles {
		faults = append(faults, Fault{Message: fmt.Sprintf("the folder has %d files", count),
			Expected: fmt.Sprintf("at most %d files", MaxFiles)})
	}
	_, mergeFaults := Merge(present)
	return sortedFaults(append(faults, mergeFaults...))
}

// checkFile checks what does not depend on the settings in the file.
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
