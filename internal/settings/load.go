package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/walldrift/walldrift/internal/finding"
)

// Finding is one defect of the settings, with its place.
type Finding struct {
	File    string
	Line    int // 0 if the value does not stand in the file
	Key     string
	Message string
}

// String formats the finding as file:line: key: message.
func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key == "" {
		return place + ": " + f.Message
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Key, f.Message)
}

// Findings collects all defects. It is an error when not empty.
type Findings = finding.List[Finding]

// Overrides replaces values of the file: section.key to value.
type Overrides map[string]string

// envPrefix precedes the names of environment variables, as in
// WALLDRIFT_LISTEN_CALLERS.
const envPrefix = "WALLDRIFT_"

// Environment returns the overrides of a node's settings in the environment.
func Environment() Overrides { return environment(fields) }

func environment[T any](fields []Field[T]) Overrides {
	o := make(Overrides)
	for _, f := range fields {
		name := envPrefix + strings.ToUpper(f.Section+"_"+f.Key)
		if v, ok := os.LookupEnv(name); ok {
			o[f.Section+"."+f.Key] = v
		}
	}
	return o
}

// ParseOverrides reads section.key=value pairs.
func ParseOverrides(pairs []string) (Overrides, error) {
	o := make(Overrides, len(pairs))
	for _, p := range pairs {
		k, v, ok := strings.Cut(p, "=")
		if !ok {
			return nil, errors.Newf("%q is not section.key=value", p)
		}
		o[k] = v
	}
	return o, nil
}

// Load reads the file and applies overrides, the later ones last. The error
// is Findings if the file could be read.
func Load(file string, overrides ...Overrides) (*Node, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(file, raw, overrides...)
}

// Parse is Load for bytes already read.
func Parse(file string, raw []byte, overrides ...Overrides) (*Node, error) {
	return parse(fields, file, raw, overrides)
}

func parse[T any](fields []Field[T], file string, raw []byte, overrides []Overrides) (*T, error) {
	cfg, err := ini.LoadSources(ini.LoadOptions{Loose: false}, raw)
	if err != nil {
		return nil, Findings{{File: file, Message: err.Error()}}
	}
	l := &loader{file: file, lines: strings.Split(string(raw), "\n"), known: names(fields)}
	l.rejectUnknown(cfg)
	node := new(T)
	for _, f := range fields {
		apply(l, node, cfg, f, overrides)
	}
	l.rejectUnknownOverrides(overrides)
	if len(l.findings) > 0 {
		return nil, l.findings
	}
	return node, nil
}

type loader struct {
	file     string
	lines    []string
	known    map[string]bool // section.key of every setting
	findings Findings
}

func names[T any](fields []Field[T]) map[string]bool {
	known := make(map[string]bool, len(fields))
	for _, f := range fields {
		known[f.Section+"."+f.Key] = true
	}
	return known
}

func (l *loader) add(line int, key, message string) {
	l.findings = append(l.findings, Finding{File: l.file, Line: line, Key: key, Message: message})
}

func apply[T any](l *loader, n *T, cfg *ini.File, f Field[T], overrides []Overrides) {
	name := f.Section + "." + f.Key
	value, line := f.Default, 0
	if s, err := cfg.GetSection(f.Section); err == nil && s.HasKey(f.Key) {
		value, line = s.Key(f.Key).String(), l.lineOf(f.Section, f.Key)
	}
	for _, o := range overrides {
		if v, ok := o[name]; ok {
			value = v
		}
	}
	if value == "" && f.Required {
		l.add(line, name, "a value is needed")
		return
	}
	if value == "" && f.Default == "" && !f.Required {
		return
	}
	if err := f.set(n, value); err != nil {
		l.add(line, name, err.Error())
	}
}

func (l *loader) rejectUnknown(cfg *ini.File) {
	for _, s := range cfg.Sections() {
		for _, k := range s.Keys() {
			if !l.known[s.Name()+"."+k.Name()] {
				l.add(l.lineOf(s.Name(), k.Name()), s.Name()+"."+k.Name(), "unknown setting")
			}
		}
	}
}

func (l *loader) rejectUnknownOverrides(overrides []Overrides) {
	for _, o := range overrides {
		for name := range o {
			if !l.known[name] {
				l.add(0, name, "unknown setting in an override")
			}
		}
	}
}

// lineOf finds the line of a key, from 1; 0 if it is not there.
func (l *loader) lineOf(section, key string) int {
	current := ini.DefaultSection
	for i, line := range l.lines {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.Contains(line, "]") {
			current = strings.TrimSpace(line[1:strings.Index(line, "]")])
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if ok && current == section && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return 0
}

// Defaults returns settings with every default set and the required ones empty.
func Defaults() (*Node, error) { return defaults(fields) }

func defaults[T any](fields []Field[T]) (*T, error) {
	n := new(T)
	for _, f := range fields {
		if f.Default == "" {
			continue
		}
		if err := f.set(n, f.Default); err != nil {
			return nil, errors.Wrapf(err, "default of %s.%s", f.Section, f.Key)
		}
	}
	return n, nil
}
