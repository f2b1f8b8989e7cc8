package settings

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// anyKey is the key of a Field that stands for all keys of its section.
const anyKey = "*"

// entriesField returns a field for a section with free keys. target returns the place of
// the entries in T, which stay nil if there are none.
func entriesField[T any](section, unit, doc string, target func(*T) *map[string]string) Field[T] {
	return Field[T]{Section: section, Key: anyKey, Unit: unit, Doc: doc, setEntry: func(n *T, key, value string) error {
		if value == "" {
			return errors.New("a value is needed")
		}
		entries := target(n)
		if *entries == nil {
			*entries = make(map[string]string)
		}
		(*entries)[key] = value
		return nil
	}}
}

// applyEntries stores the entries of a section with free keys: those of the file, and
// those of the overrides, of which later ones take precedence.
func applyEntries[T any](l *loader, n *T, cfg *ini.File, f Field[T], overrides []Overrides) {
	values := make(map[string]string)
	if s, err := cfg.GetSection(f.Section); err == nil {
		maps.Copy(values, s.KeysHash())
	}
	for _, o := range overrides {
		for name, v := range o {
			if key, ok := strings.CutPrefix(name, f.Section+"."); ok && key != "" {
				values[key] = v
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if err := f.setEntry(n, key, values[key]); err != nil {
			l.addFinding(l.lineOf(f.Section, key), f.Section+"."+key, err.Error())
		}
	}
}

// isKnown reports whether the key is a setting or an entry of a section with free keys.
func (l *loader) isKnown(section, key string) bool {
	return l.known[section+"."+key] || key != "" && l.known[section+"."+anyKey]
}
