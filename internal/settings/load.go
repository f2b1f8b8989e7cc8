package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/walldrift/walldrift/internal/finding"
)

// Finding is one defect of the settings.
type Finding struct {
	File    string
	Line    int    // from 1; 0 if the value is not in the file
	Key     string // as section.key
	Message string
}

// String formats the finding as "file:line: section.key: message".
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

// Findings is the list of all defects. Use it as an error only if it is not empty.
type Findings = finding.List[Finding]

// Overrides maps section.key to a value that replaces that of the file.
type Overrides map[string]string

// envPrefix begins the names of environment variables: WALLDRIFT_LISTEN_CALLERS overrides
// listen.callers.
const envPrefix = "WALLDRIFT_"

// Environment returns the overrides of a node's settings from environment variables.
func Environment() Overrides { return environmentOverrides(nodeFields) }

// environmentOverrides returns the values of the fields that environment variables set.
func environmentOverrides[T any](fields []Field[T]) Overrides {
	o := make(Overrides)
	for _, f := range fields {
		name := envPrefix + strings.ToUpper(f.Section+"_"+f.Key)
		if v, ok := os.LookupEnv(name); ok {
			o[f.Section+"."+f.Key] = v
		}
	}
	return o
}

// ParseOverrides parses section.key=value pairs.
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

// Load reads the settings file of a node and applies overrides, of which later ones take
// precedence. If the file can be read but has defects, the error is Findings.
func Load(file string, overrides ...Overrides) (*Node, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(file, raw, overrides...)
}

// Parse is like Load, but takes the content of the file from raw.
func Parse(file string, raw []byte, overrides ...Overrides) (*Node, error) {
	return parseFields(nodeFields, file, raw, overrides)
}

// parseFields parses a settings file, applies overrides and checks each of the fields.
func parseFields[T any](fields []Field[T], file string, raw []byte, overrides []Overrides) (*T, error) {
	cfg, err := ini.LoadSources(ini.LoadOptions{Loose: false}, raw)
	if err != nil {
		return nil, Findings{{File: file, Message: err.Error()}}
	}
	l := newLoader(file, raw)
	l.known = knownNames(fields)
	l.rejectUnknown(cfg)
	parsed := new(T)
	for _, f := range fields {
		if f.Key == anyKey {
			applyEntries(l, parsed, cfg, f, overrides)
			continue
		}
		applyField(l, parsed, cfg, f, overrides)
	}
	l.rejectUnknownOverrides(overrides)
	if len(l.findings) > 0 {
		return nil, l.findings
	}
	return parsed, nil
}

// loader collects the findings for one settings file.
type loader struct {
	file     string
	lines    []string
	known    map[string]bool // section.key of every setting
	findings Findings
}

func newLoader(file string, raw []byte) *loader {
	return &loader{file: file, lines: strings.Split(string(raw), "\n")}
}

// knownNames returns section.key of each field.
func knownNames[T any](fields []Field[T]) map[string]bool {
	known := make(map[string]bool, len(fields))
	for _, f := range fields {
		known[f.Section+"."+f.Key] = true
	}
	return known
}

func (l *loader) addFinding(line int, key, message string) {
	l.findings = append(l.findings, Finding{File: l.file, Line: line, Key: key, Message: message})
}

// applyField stores the value of a setting: that of the last override that has it, or
// that of the file, or the default.
func applyField[T any](l *loader, n *T, cfg *ini.File, f Field[T], overrides []Overrides) {
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
		l.addFinding(line, name, "a value is needed")
		return
	}
	if value == "" && f.Default == "" && !f.Required {
		return
	}
	if err := f.set(n, value); err != nil {
		l.addFinding(line, name, err.Error())
	}
}

func (l *loader) rejectUnknown(cfg *ini.File) {
	for _, s := range cfg.Sections() {
		for _, k := range s.Keys() {
			if !l.isKnown(s.Name(), k.Name()) {
				l.addFinding(l.lineOf(s.Name(), k.Name()), s.Name()+"."+k.Name(), "unknown setting")
			}
		}
	}
}

func (l *loader) rejectUnknownOverrides(overrides []Overrides) {
	for _, o := range overrides {
		for name := range o {
			if section, key, _ := strings.Cut(name, "."); !l.isKnown(section, key) {
				l.addFinding(0, name, "unknown setting in an override")
			}
		}
	}
}

// lineOf returns the line number of a key, from 1, or 0 if the file does not have it.
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

// Defaults returns the default settings of a node. Required settings are left empty.
func Defaults() (*Node, error) { return defaultsOf(nodeFields) }

// defaultsOf returns settings in which only the fields with a default are set.
func defaultsOf[T any](fields []Field[T]) (*T, error) {
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
