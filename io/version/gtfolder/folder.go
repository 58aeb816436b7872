// Package gtfolder reads the operators' folder: small TOML files that are
// merged in the order of their names.
//
// # Usage
//
//	files, err := gtfolder.Read("conf.d")
//	parser := &gtfolder.Parser{}
//	cfg, problems := parser.Merge(files)
//
// The parser keeps what it has decoded, so that a change of one file costs the
// decoding of that file only.
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

// namePattern is what a file's name looks like.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}\.toml$`)

// Read returns the texts of the folder's .toml files by name. Other files and
// subfolders are passed over.
func Read(dir string) (map[string]string, error) {
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, errorx.Decorate(err, "read folder")
	}
	files := map[string]string{}
	for _, e := range list {
		if e.IsDir() || !strings.HasSuffix(e.Name(), ".toml") {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, errorx.Decorate(err, "read folder")
		}
		files[e.Name()] = string(text)
	}
	return files, nil
}

// Write makes the folder's .toml files those given, and removes the others.
func Write(dir string, files map[string]string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errorx.Decorate(err, "make folder")
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
			return errorx.Decorate(err, "remove a file that the store does not hold")
		}
	}
	for name, text := range files {
		if !namePattern.MatchString(name) {
			return errorx.IllegalArgument.New("the store holds a file with the unusable name %q", name)
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return errorx.Decorate(err, "write folder")
		}
	}
	return nil
}

// Parser decodes files and merges them. The zero value is ready for use.
type Parser struct {
	decoded gtshard.Map[decoded]
}

type decoded struct {
	text     string
	file     gtconfig.File
	problems []gtconfig.Problem
}

// Merge decodes, merges and checks the files, and returns either the whole
// result or every problem.
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
	p.forget(texts)
	cfg, more := gtconfig.Merge(files)
	if problems = append(problems, more...); len(problems) > 0 {
		return nil, problems
	}
	return cfg, nil
}

func (p *Parser) decode(name, text string) decoded {
	if d, ok := p.decoded.Get(name); ok && d.text == text {
		return d
	}
	d := decoded{text: text}
	d.file, d.problems = Parse(name, text)
	p.decoded.Do(name, func(m map[string]decoded) { m[name] = d })
	return d
}

func (p *Parser) forget(texts map[string]string) {
	p.decoded.Each(func(m map[string]decoded) {
		for name := range m {
			if _, ok := texts[name]; !ok {
				delete(m, name)
			}
		}
	})
}

// Parse decodes one file.
func Parse(name, text string) (gtconfig.File, []gtconfig.Problem) {
	refuse := func(line int, key, reason string) (gtconfig.File, []gtconfig.Problem) {
		return gtconfig.NewFile(name, nil), []gtconfig.Problem{gtconfig.NewProblem(name, line, key, reason)}
	}
	if !namePattern.MatchString(name) {
		return refuse(0, "", "file names are letters, digits, dots, dashes and underscores, and end in .toml")
	}
	if len(text) > gtconfig.MaxFileBytes {
		return refuse(0, "", "file is larger than 256 KiB; split it")
	}
	var tree map[string]any
	if err := toml.Unmarshal([]byte(text), &tree); err != nil {
		var bad *toml.DecodeError
		if !errors.As(err, &bad) {
			return refuse(0, "", err.Error())
		}
		line, _ := bad.Position()
		return refuse(line, strings.Join(bad.Key(), "."), strings.TrimPrefix(bad.Error(), "toml: "))
	}
	lines := keyLines(text)
	var entries []gtconfig.Entry
	walk(nil, tree, func(path []string, v any) {
		entries = append(entries, entry(name, lines, path, v))
	})
	slices.SortStableFunc(entries, func(a, b gtconfig.Entry) int { return strings.Compare(a.Path(), b.Path()) })
	return gtconfig.NewFile(name, entries), nil
}

// walk calls fn for every value that is not a table, and for empty tables.
func walk(path []string, v any, fn func([]string, any)) {
	table, ok := v.(map[string]any)
	if !ok {
		fn(path, v)
		return
	}
	for _, k := range slices.Sorted(maps.Keys(table)) {
		walk(append(slices.Clone(path), k), table[k], fn)
	}
}

func entry(file string, lines map[string]int, path []string, v any) gtconfig.Entry {
	section, name, key := path[0], "", ""
	if len(path) > 1 {
		name = path[1]
	}
	if len(path) > 2 {
		key = strings.Join(path[2:], ".")
	}
	return gtconfig.NewEntry(file, lines[strings.Join(path, "\x00")], section, name, key, value(v))
}

func value(v any) gtconfig.Value {
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
		return listValue(v)
	default:
		return gtconfig.OtherValue()
	}
}

func listValue(list []any) gtconfig.Value {
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

// keyLines returns the line of every key in the text, by path.
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
			note(lines, path, line, e.Value())
		}
	}
	return lines
}

// note records the line of a key, and of the keys of an inline table.
func note(lines map[string]int, path []string, line int, v *unstable.Node) {
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
		note(lines, inner, line, kv.Value())
	}
}

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

// Texts returns problems as operators read them.
func Texts(problems []gtconfig.Problem) []string {
	texts := make([]string, len(problems))
	for i, p := range problems {
		texts[i] = p.String()
	}
	return texts
}
