// Package config implements the published configuration: a folder of JSON files
// with comments. Merge combines the files in name order, Check validates them
// before publication, and State applies the records of the config stream and
// decides which publications take effect.
//
// The package does no I/O and reads no clock. A State is not safe for
// concurrent use.
package config

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Bounds of a publication. Check and EncodeChange enforce them. State.Apply does
// not, so that binaries with different bounds accept the same publications.
const (
	// MaxFileBytes bounds the content of one file. Merge ignores larger files.
	MaxFileBytes = 128 << 10
	// MaxFolderBytes bounds the content of all files together. It is a quarter of
	// MaxRecordBytes, so that a snapshot has room for the tombstones of deleted
	// files and for publications that each passed Check but together exceed the
	// bound.
	MaxFolderBytes = 256 << 10
	// MaxFiles bounds the number of files.
	MaxFiles = 1000
	// MaxRecordBytes bounds an encoded change or snapshot. The client of the log
	// service appends no larger record.
	MaxRecordBytes = 1 << 20
	// MaxNameBytes bounds the name of a file, service or team, and the ID of a
	// publication.
	MaxNameBytes = 128
	// MaxListNames bounds the number of names in a setting that is a list.
	MaxListNames = 1000
)

var (
	fileNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*\.jsonc?$`)
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]*$`)
)

// File is one published file. Version is the offset of the record that last
// changed it, and 0 for a file that was never published.
//
// A file with a version and no content is a tombstone: the file was deleted. A
// State keeps the tombstone so that the publication that created the file does
// not take effect again if its record is repeated. Merge and Check ignore
// tombstones.
type File struct {
	Name    string
	Version uint64
	Content []byte
}

// Deleted reports whether the file is the tombstone of a deleted file.
func (f File) Deleted() bool { return f.Version > 0 && len(f.Content) == 0 }

// ValidFileName reports whether a file with the given name may be published.
func ValidFileName(name string) bool {
	return len(name) <= MaxNameBytes && fileNamePattern.MatchString(name)
}

// validName reports whether name is a valid name of a service or team.
func validName(name string) bool {
	return len(name) <= MaxNameBytes && namePattern.MatchString(name)
}

// Fault is one error in a file, or in the folder if File is empty. Line counts
// from 1 and is 0 if the error concerns the whole file. Field is the dotted path
// of the setting and may be empty. Expected describes the accepted values.
type Fault struct {
	File     string
	Line     int
	Field    string
	Message  string
	Expected string
}

// String returns the fault in the form "file:line: field: message (expected ...)".
func (f Fault) String() string {
	text := quoteUnprintable(f.File)
	if f.Line > 0 {
		text += fmt.Sprintf(":%d", f.Line)
	}
	if f.Field != "" {
		text += ": " + quoteUnprintable(f.Field)
	}
	text += ": " + f.Message
	if f.Expected != "" {
		text += " (expected " + f.Expected + ")"
	}
	return text
}

// quoteUnprintable quotes a name that contains non-printable characters or
// invalid UTF-8, which could break the output line or control the terminal.
func quoteUnprintable(name string) string {
	if strings.ContainsFunc(name, func(r rune) bool { return r == utf8.RuneError || !unicode.IsPrint(r) }) {
		return strconv.Quote(name)
	}
	return name
}

// Config is a complete configuration: values from the files, and defaults for
// the rest. Every value is within its range.
type Config struct {
	Services map[string]Service
	Teams    map[string]Team
	Limits   Limits
}

// Service holds the settings of one service. Fields lists the settings with
// their units, defaults and ranges.
type Service struct {
	QueueLimit          int
	MaxBacklog          int
	RetryBudgetPercent  int
	BatchReservePercent int
	BatchSpreadPercent  int
	DefaultDeadline     time.Duration
	Ejection            Ejection
	// Teams lists the teams that may submit. Nil admits every team; an empty
	// non-nil list admits none.
	Teams []string
}

// Ejection configures when a target with failed answers is ejected, and when probe
// tasks test whether it has recovered.
type Ejection struct {
	FailurePercent int
	MinAnswers     int
	MaxZonePercent int
	ProbeAfter     time.Duration
	ProbeMax       time.Duration
}

// Team holds the quota of one team, which applies to all entries together.
type Team struct {
	StartsPerSecond int
	Burst           int
}

// Limits holds the settings that apply to all services.
type Limits struct {
	DedupeWindow    time.Duration
	AnswerRetention time.Duration
}

// MergeResult is the result of merging a folder. SourceFiles maps the dotted path
// of each value to the name of the file that set it; a value without a source has
// its default.
type MergeResult struct {
	Config      Config
	SourceFiles map[string]string

	values []Value
}

// Value is one value of a merged configuration, formatted for display.
type Value struct {
	Path string
	Text string
	Unit string
	// File is the name of the file that set the value; it is empty for a default.
	File string
}

// Values returns every value, including defaults: first those of the teams, then
// those of the services, both sorted by name, then the limits.
func (m MergeResult) Values() []Value { return m.values }
