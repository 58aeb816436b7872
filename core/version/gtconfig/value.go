// Package gtconfig is the operators' configuration: the entries of a folder of
// files, the one pure function that merges and checks them, and the result.
//
// # Usage
//
//	cfg, problems := gtconfig.Merge(files)
//	if len(problems) > 0 { return problems }
//	route, ok := cfg.Match("GET", "host", "/catalogue/swans")
//
// Files are merged in the order of their names; a later file overrides an
// earlier one key by key. The same files give the same result in every
// process, so any node may do the merge, and Sum tells whether two agree.
package gtconfig

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ValueType is the type of a value in a file.
type ValueType int

// The types of values.
const (
	TypeString ValueType = iota
	TypeBool
	TypeNumber
	TypeTime
	TypeList
	TypeOther
)

var typeNames = [...]string{"string", "true or false", "number", "date and time", "list of strings", "value of another type"}

// String returns the type's name as it stands in messages to operators.
func (t ValueType) String() string { return typeNames[t] }

// Value is one typed value of a file.
type Value struct {
	typ    ValueType
	text   string
	flag   bool
	number float64
	at     time.Time
	list   []string
}

// StringValue returns a value of type string.
func StringValue(s string) Value { return Value{typ: TypeString, text: s} }

// BoolValue returns a value of type bool.
func BoolValue(b bool) Value { return Value{typ: TypeBool, flag: b} }

// NumberValue returns a value of type number.
func NumberValue(f float64) Value { return Value{typ: TypeNumber, number: f} }

// TimeValue returns a value of type time.
func TimeValue(t time.Time) Value { return Value{typ: TypeTime, at: t.UTC()} }

// ListValue returns a value of type list of strings.
func ListValue(l []string) Value { return Value{typ: TypeList, list: l} }

// OtherValue returns a value of a type that no key takes.
func OtherValue() Value { return Value{typ: TypeOther} }

// canon returns the value as text that is equal for equal values only.
func (v Value) canon() string {
	switch v.typ {
	case TypeString:
		return strconv.Quote(v.text)
	case TypeBool:
		return strconv.FormatBool(v.flag)
	case TypeNumber:
		return strconv.FormatFloat(v.number, 'g', -1, 64)
	case TypeTime:
		return v.at.Format(time.RFC3339Nano)
	case TypeList:
		quoted := make([]string, len(v.list))
		for i, s := range v.list {
			quoted[i] = strconv.Quote(s)
		}
		return "[" + strings.Join(quoted, ",") + "]"
	default:
		return "?"
	}
}

// Entry is one key of a file: section.name.key = value.
type Entry struct {
	section string
	name    string
	key     string
	value   Value
	file    string
	line    int
}

// NewEntry returns an entry that stands at the given line of the file.
func NewEntry(file string, line int, section, name, key string, value Value) Entry {
	return Entry{section: section, name: name, key: key, value: value, file: file, line: line}
}

// Path returns section.name.key.
func (e Entry) Path() string {
	return joinPath(e.section, e.name, e.key)
}

func joinPath(parts ...string) string {
	var kept []string
	for _, p := range parts {
		if p != "" {
			kept = append(kept, p)
		}
	}
	return strings.Join(kept, ".")
}

// File is one file of the folder, decoded.
type File struct {
	name    string
	entries []Entry
}

// NewFile returns a file with the given entries.
func NewFile(name string, entries []Entry) File { return File{name: name, entries: entries} }

// Name returns the file's name.
func (f File) Name() string { return f.name }

// Entries returns the file's entries in order.
func (f File) Entries() []Entry { return f.entries }

// Problem is one reason why a folder is refused.
type Problem struct {
	file   string
	line   int
	key    string
	reason string
}

// NewProblem returns a problem at the given place. A line of 0 means that the
// whole file is meant.
func NewProblem(file string, line int, key, reason string) Problem {
	return Problem{file: file, line: line, key: key, reason: reason}
}

// File returns the name of the file.
func (p Problem) File() string { return p.file }

// Line returns the line, counted from 1.
func (p Problem) Line() int { return p.line }

// Key returns the full path of the key.
func (p Problem) Key() string { return p.key }

// Reason says what is wrong and what to do.
func (p Problem) Reason() string { return p.reason }

// String returns the problem as file:line: key: reason.
func (p Problem) String() string {
	where := p.file
	if p.line > 0 {
		where = fmt.Sprintf("%s:%d", p.file, p.line)
	}
	if p.key == "" {
		return where + ": " + p.reason
	}
	return where + ": " + p.key + ": " + p.reason
}

func (e Entry) problem(format string, args ...any) Problem {
	return NewProblem(e.file, e.line, e.Path(), fmt.Sprintf(format, args...))
}
