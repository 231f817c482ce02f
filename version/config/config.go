// Package config holds the published configuration: a folder of JSON files
// with comments that are merged in name order, the checks for publishers, and
// the fold of the config stream that decides which publications take effect.
//
// The package is pure: it reads no clock, socket or file. A State is not safe
// for concurrent use.
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

// Bounds of a publication. Check and EncodeChange enforce them; a verdict does
// not depend on them, so that binaries with other bounds reach the same one.
const (
	// MaxFileBytes bounds one file. Merge ignores larger ones.
	MaxFileBytes = 128 << 10
	// MaxFolderBytes bounds all files together. It is a quarter of
	// MaxRecordBytes, so that a snapshot has room for the marks of deleted files
	// and for publications that were checked separately and add up to more.
	MaxFolderBytes = 256 << 10
	// MaxFiles bounds the number of files.
	MaxFiles = 1000
	// MaxRecordBytes bounds an encoded change or snapshot. The client of the log
	// service appends no larger record.
	MaxRecordBytes = 1 << 20
	// MaxNameBytes bounds the name of a file, service, team or publication.
	MaxNameBytes = 128
	// MaxListNames bounds the names in one list.
	MaxListNames = 1000
)

var (
	fileNamePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*\.jsonc?$`)
	entryNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]*$`)
)

// File is one published file. Version is the offset of the record that last
// changed it, and 0 for a file that was never published.
//
// A file with a version and no content was deleted. It is kept so that a
// repeated publication that created the file does not take effect again; Merge
// and Check ignore it.
type File struct {
	Name    string
	Version uint64
	Content []byte
}

// Deleted reports whether the file is the mark left by a deletion.
func (f File) Deleted() bool { return f.Version > 0 && len(f.Content) == 0 }

// ValidFileName reports whether a file of this name may be published.
func ValidFileName(name string) bool {
	return len(name) <= MaxNameBytes && fileNamePattern.MatchString(name)
}

func validEntryName(name string) bool {
	return len(name) <= MaxNameBytes && entryNamePattern.MatchString(name)
}

// Fault is one thing that is wrong with a file. Line counts from 1 and is 0 if
// the fault concerns the whole file; Field is a dotted path and may be empty.
type Fault struct {
	File     string
	Line     int
	Field    string
	Message  string
	Expected string
}

// String returns the fault in the form "file:line: field: message (expected ...)".
func (f Fault) String() string {
	text := printable(f.File)
	if f.Line > 0 {
		text += fmt.Sprintf(":%d", f.Line)
	}
	if f.Field != "" {
		text += ": " + printable(f.Field)
	}
	text += ": " + f.Message
	if f.Expected != "" {
		text += " (expected " + f.Expected + ")"
	}
	return text
}

// printable quotes names that would otherwise break the line or the terminal.
func printable(name string) string {
	if strings.ContainsFunc(name, func(r rune) bool { return r == utf8.RuneError || !unicode.IsPrint(r) }) {
		return strconv.Quote(name)
	}
	return name
}

// Config is the configuration in force. Every value is within its range.
type Config struct {
	Services map[string]Service
	Teams    map[string]Team
	Limits   Limits
}

// Service holds the settings of one service. The fields, their units, defaults
// and ranges are those that Fields lists.
type Service struct {
	QueueLimit          int
	MaxBacklog          int
	RetryBudgetPercent  int
	BatchReservePercent int
	BatchSpreadPercent  int
	DefaultDeadline     time.Duration
	Ejection            Ejection
	// Teams lists the teams that may submit. Nil admits every team; an empty
	// list that is not nil admits none.
	Teams []string
}

// Ejection says when a target is taken out of service and how it comes back.
type Ejection struct {
	FailurePercent int
	MinAnswers     int
	MaxZonePercent int
	ProbeAfter     time.Duration
	ProbeMax       time.Duration
}

// Team holds the quota of one team, over all entries together.
type Team struct {
	StartsPerSecond int
	Burst           int
}

// Limits holds the settings that apply to all services.
type Limits struct {
	DedupeWindow    time.Duration
	AnswerRetention time.Duration
}

// Merged is the result of merging a folder. Source maps the dotted path of each
// value to the file that set it; a value that is not in it has its default.
type Merged struct {
	Config Config
	Source map[string]string

	values []Value
}

// Value is one value of a merged configuration, for display.
type Value struct {
	Path string
	Text string
	Unit string
	// File set the value; it is empty if the value is the default.
	File string
}

// Values returns every value in force, by section and name.
func (m Merged) Values() []Value { return m.values }
