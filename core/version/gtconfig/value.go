// Package gtconfig holds the operators' configuration: the entries of a folder
// of files, a pure function that merges and checks them, and the resulting
// services, routes, moves, zones and client accounts.
//
// # Usage
//
//	cfg, problems := gtconfig.Merge(files)
//	if len(problems) > 0 { return problems }
//	route, ok := cfg.Match("GET", "host", "/catalogue/items")
//
// Files are merged in the order of their names; a later file overrides an
// earlier one key by key. The same files give the same result in every
// process, so any node can do the merge, and two nodes can compare their results
// by Checksum.
package gtconfig

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ValueType is the type of a Value.
type ValueType uint8

// The types of values. TypeOther stands for any type that no key accepts.
const (
	TypeString ValueType = iota
	TypeBool
	TypeNumber
	TypeTime
	TypeList
	TypeOther
)

var typeNames = [...]string{"string", "true or false", "number", "date and time", "list of strings", "value of an unsupported type"}

// String returns the type's name as used in messages to operators.
func (t ValueType) String() string { return typeNames[t] }

// Value is the typed value of an entry. Only the field of its type is set. The fields are
// ordered for size, as 2,000 routes have some 16,000 values while they are merged.
type Value struct {
	text      string
	list      []string
	number    float64
	timestamp *time.Time
	typ       ValueType
	boolean   bool
}

// StringValue returns a value of type string.
func StringValue(s string) Value { return Value{typ: TypeString, text: s} }

// BoolValue returns a value of type bool.
func BoolValue(b bool) Value { return Value{typ: TypeBool, boolean: b} }

// NumberValue returns a value of type number.
func NumberValue(f float64) Value { return Value{typ: TypeNumber, number: f} }

// TimeValue returns a value of type time.
func TimeValue(t time.Time) Value {
	t = t.UTC()
	return Value{typ: TypeTime, timestamp: &t}
}

// ListValue returns a value of type list of strings.
func ListValue(l []string) Value { return Value{typ: TypeList, list: l} }

// OtherValue returns a value of a type that no key accepts.
func OtherValue() Value { return Value{typ: TypeOther} }

// appendCanonical appends a text form that is equal for two values only if the values
// are equal.
func (v Value) appendCanonical(b []byte) []byte {
	switch v.typ {
	case TypeString:
		return strconv.AppendQuote(b, v.text)
	case TypeBool:
		return strconv.AppendBool(b, v.boolean)
	case TypeNumber:
		return strconv.AppendFloat(b, v.number, 'g', -1, 64)
	case TypeTime:
		return v.timestamp.AppendFormat(b, time.RFC3339Nano)
	case TypeList:
		b = append(b, '[')
		for i, s := range v.list {
			if i > 0 {
				b = append(b, ',')
			}
			b = strconv.AppendQuote(b, s)
		}
		return append(b, ']')
	default:
		return append(b, '?')
	}
}

// Entry is one setting of a file, section.name.key = value, with its location.
type Entry struct {
	section string
	name    string
	key     string
	value   Value
	file    string
	line    int
}

// NewEntry returns an entry at the given line of the file, counted from 1.
func NewEntry(file string, line int, section, name, key string, value Value) Entry {
	return Entry{section: section, name: name, key: key, value: value, file: file, line: line}
}

// Path returns section.name.key, without empty parts.
func (e Entry) Path() string {
	return joinDotted(e.section, e.name, e.key)
}

// location returns file:line, or the file alone if the line is not known.
func (e Entry) location() string {
	if e.line == 0 {
		return e.file
	}
	return fmt.Sprintf("%s:%d", e.file, e.line)
}

// joinDotted joins the non-empty parts with dots.
func joinDotted(parts ...string) string {
	var kept []string
	for _, p := range parts {
		if p != "" {
			kept = append(kept, p)
		}
	}
	return strings.Join(kept, ".")
}

// File is one decoded file of the folder.
type File struct {
	name    string
	entries []Entry
}

// NewFile returns a file with the given entries.
func NewFile(name string, entries []Entry) File { return File{name: name, entries: entries} }

// Name returns the file's name.
func (f File) Name() string { return f.name }

// Entries returns the file's entries in the order given to NewFile.
func (f File) Entries() []Entry { return f.entries }

// Problem is an error in a folder, with its location.
type Problem struct {
	file   string
	line   int
	key    string
	reason string
}

// NewProblem returns a problem at the given line of the file and for the given
// key path. Line 0 and an empty key mean that the problem concerns the whole
// file.
func NewProblem(file string, line int, key, reason string) Problem {
	return Problem{file: file, line: line, key: key, reason: reason}
}

// File returns the name of the file.
func (p Problem) File() string { return p.file }

// Line returns the line, counted from 1, or 0 for the whole file.
func (p Problem) Line() int { return p.line }

// Key returns the full path of the key.
func (p Problem) Key() string { return p.key }

// Reason returns what is wrong and how to correct it.
func (p Problem) Reason() string { return p.reason }

// String returns the problem as file:line: key: reason, without the line if it
// is 0 and without the key if it is empty.
func (p Problem) String() string {
	location := Entry{file: p.file, line: p.line}.location()
	if p.key == "" {
		return location + ": " + p.reason
	}
	return location + ": " + p.key + ": " + p.reason
}

// newProblem returns a problem at the entry's location, with a formatted reason.
func (e Entry) newProblem(format string, args ...any) Problem {
	return NewProblem(e.file, e.line, e.Path(), fmt.Sprintf(format, args...))
}
