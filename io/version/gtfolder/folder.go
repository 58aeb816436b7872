// Package gtfolder reads the operators' configuration folder: TOML files that
// are merged in the order of their names.
//
// # Usage
//
//	files, err := gtfolder.Read("conf.d")
//	parser := &gtfolder.Parser{}
//	cfg, problems := parser.Merge(files)
//
// The parser caches decoded files, so that only changed files are decoded again.
package gtfolder

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"godwittide/core/process/gtshard"
	"godwittide/core/version/gtconfig"
)

// namePattern matches valid file names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}\.toml$`)

// Read returns the texts of the folder's .toml files by name. It skips other
// files and subfolders.
func Read(dir string) (map[string]string, error) {
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, errorx.Decorate(err, "list the configuration folder")
	}
	files := map[string]string{}
	for _, e := range list {
		if e.IsDir() || !strings.HasSuffix(e.Name(), ".toml") {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, errorx.Decorate(err, "read a file of the configuration folder")
		}
		files[e.Name()] = string(text)
	}
	return files, nil
}

// Write writes the given files to the folder and removes its other .toml files.
// It creates the folder if it is missing. If it fails, for example at an invalid
// file name, the changes made until then stay.
func Write(dir string, files map[string]string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errorx.Decorate(err, "create the configuration folder")
	}
	old, err := Read(dir)
	if err != nil {
		return err
	}
	for name := range old {
		if _, ok := files[name]; ok {
			continue
		}
		if err := os.Remove(filepath.Join(dir, name)); err != nil {
			return errorx.Decorate(err, "remove a file that is not in the store")
		}
	}
	for name, text := range files {
		if !namePattern.MatchString(name) {
			return errorx.IllegalArgument.New("file from the store has the invalid name %q", name)
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return errorx.Decorate(err, "write a file of the configuration folder")
		}
	}
	return nil
}

// Parser decodes files and merges them. The zero value is ready for use.
type Parser struct {
	decoded gtshard.Map[decodedFile]
}

// decodedFile is a cached decoding result, valid for the same text.
type decodedFile struct {
	text     string
	file     gtconfig.File
	problems []gtconfig.Problem
}

// Merge decodes, merges and checks the files. It returns either the whole
// configuration or, with a nil configuration, all problems found.
func (p *Parser) Merge(texts map[string]string) (*gtconfig.Config, []gtconfig.Problem) {
	if len(texts) > gtconfig.MaxFiles {
		return nil, []gtconfig.Problem{gtconfig.NewProblem("folder", 0, "", "holds too many files")}
	}
	files := make([]gtconfig.File, 0, len(texts))
	var problems []gtconfig.Problem
	for _, name := range slices.Sorted(maps.Keys(texts)) {
		d := p.decode(name, texts[name])
		files = append(files, d.file)
		problems = append(problems, d.problems...)
	}
	p.evict(texts)
	cfg, more := gtconfig.Merge(files)
	if problems = append(problems, more...); len(problems) > 0 {
		return nil, problems
	}
	return cfg, nil
}

// decode returns the decoded file, from the cache if its text has not changed.
func (p *Parser) decode(name, text string) decodedFile {
	if d, ok := p.decoded.Get(name); ok && d.text == text {
		return d
	}
	d := decodedFile{text: text}
	d.file, d.problems = Parse(name, text)
	p.decoded.Do(name, func(m map[string]decodedFile) { m[name] = d })
	return d
}

// evict removes files from the cache that are not in texts.
func (p *Parser) evict(texts map[string]string) {
	p.decoded.Each(func(m map[string]decodedFile) {
		for name := range m {
			if _, ok := texts[name]; !ok {
				delete(m, name)
			}
		}
	})
}

// Parse decodes one file. It returns a file without entries if there are problems.
func Parse(name, text string) (gtconfig.File, []gtconfig.Problem) {
	reject := func(line int, key, reason string) (gtconfig.File, []gtconfig.Problem) {
		return gtconfig.NewFile(name, nil), []gtconfig.Problem{gtconfig.NewProblem(name, line, key, reason)}
	}
	if !namePattern.MatchString(name) {
		return reject(0, "", "file names are letters, digits, dots, dashes and underscores, and end in .toml")
	}
	if len(text) > gtconfig.MaxFileBytes {
		return reject(0, "", "file is larger than 256 KiB; split it")
	}
	var tree map[string]any
	if err := toml.Unmarshal([]byte(text), &tree); err != nil {
		var decodeErr *toml.DecodeError
		if !errors.As(err, &decodeErr) {
			return reject(0, "", "not valid TOML")
		}
		line, _ := decodeErr.Position()
		if strings.Contains(text, "account") {
			// The decoder's message may quote a value, which may be an account's key.
			return reject(line, "", "not valid TOML; the message is left out, as the file may hold keys of accounts")
		}
		return reject(line, strings.Join(decodeErr.Key(), "."), strings.TrimPrefix(decodeErr.Error(), "toml: "))
	}
	lines := keyLines(text)
	var entries []gtconfig.Entry
	walkLeaves(nil, tree, func(path []string, v any) {
		entries = append(entries, newEntry(name, lines, path, v))
	})
	slices.SortStableFunc(entries, func(a, b gtconfig.Entry) int { return strings.Compare(a.Path(), b.Path()) })
	return gtconfig.NewFile(name, entries), nil
}

// walkLeaves calls fn with the path and value of every key that is not a table.
func walkLeaves(path []string, v any, fn func([]string, any)) {
	table, ok := v.(map[string]any)
	if !ok {
		fn(path, v)
		return
	}
	for _, k := range slices.Sorted(maps.Keys(table)) {
		walkLeaves(append(slices.Clone(path), k), table[k], fn)
	}
}

// newEntry returns the entry of a value. The path consists of the section, the
// name and the key; the remaining parts of a longer path are joined to a dotted key.
func newEntry(file string, lines map[string]int, path []string, v any) gtconfig.Entry {
	section, name, key := path[0], "", ""
	if len(path) > 1 {
		name = path[1]
	}
	if len(path) > 2 {
		key = strings.Join(path[2:], ".")
	}
	return gtconfig.NewEntry(file, lines[strings.Join(path, "\x00")], section, name, key, toValue(v))
}

func toValue(v any) gtconfig.Value {
	switch v := v.(type) {
	case string:
		return gtconfig.StringValue(v)
	case bool:
		return gtconfig.BoolValue(v)
	case int64:
		return gtconfig.NumberValue(float64(v))
	case float64:
		return gtconfig.NumberValue(v)
	case time.Time:
		return gtconfig.TimeValue(v)
	case []any:
		return toListValue(v)
	default:
		return gtconfig.OtherValue()
	}
}

func toListValue(list []any) gtconfig.Value {
	texts := make([]string, len(list))
	for i, v := range list {
		s, ok := v.(string)
		if !ok {
			return gtconfig.OtherValue()
		}
		texts[i] = s
	}
	return gtconfig.ListValue(texts)
}

// keyLines returns the line number of every key in the text. Paths are joined
// with NUL bytes.
func keyLines(text string) map[string]int {
	lines := map[string]int{}
	var p unstable.Parser
	p.Reset([]byte(text))
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		path, line := keyPath(&p, e)
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = path
		case unstable.KeyValue:
			path = append(slices.Clone(table), path...)
			recordLine(lines, path, line, e.Value())
		}
	}
	return lines
}

// recordLine records the line of a key and, if its value is an inline table, of
// the table's keys.
func recordLine(lines map[string]int, path []string, line int, v *unstable.Node) {
	lines[strings.Join(path, "\x00")] = line
	if v == nil || v.Kind != unstable.InlineTable {
		return
	}
	for it := v.Children(); it.Next(); {
		kv := it.Node()
		inner := slices.Clone(path)
		for k := kv.Key(); k.Next(); {
			inner = append(inner, string(k.Node().Data))
		}
		recordLine(lines, inner, line, kv.Value())
	}
}

// keyPath returns the path of an expression's key and its line number.
func keyPath(p *unstable.Parser, e *unstable.Node) ([]string, int) {
	var path []string
	line := 0
	for it := e.Key(); it.Next(); {
		n := it.Node()
		path = append(path, string(n.Data))
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
	}
	return path, line
}

// FormatProblems returns the problems formatted for operators.
func FormatProblems(problems []gtconfig.Problem) []string {
	texts := make([]string, len(problems))
	for i, p := range problems {
		texts[i] = p.String()
	}
	return texts
}
