package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSidecarFile = `[instance]
name = n
service = s
data_centre = bole
region = addis
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
ready = 127.0.0.1:3
[upstream]
address = 127.0.0.1:4
[store]
address = 127.0.0.1:5
`

// Guards against regions that are lost, or invented, on the way to the discovered
// upstreams. Without the section no region but the own may be known.
func TestRegions(t *testing.T) {
	for name, c := range map[string]struct {
		section string
		want    map[string]string
	}{
		"without the section": {"", nil},
		"empty section":       {"[regions]\n", nil},
		"two data centres":    {"[regions]\nmerkato = addis\ndire.1 = dire\n", map[string]string{"merkato": "addis", "dire.1": "dire"}},
		"own data centre":     {"[regions]\nbole = addis\n", map[string]string{"bole": "addis"}},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := ParseSidecar("sidecar.ini", []byte(validSidecarFile+c.section))
			assert.NilError(t, err)
			assert.DeepEqual(t, s.Discovery().Regions, c.want)
		})
	}
}

// Guards against overrides of a section with free keys that are lost, or of which an
// earlier one wins.
func TestLaterOverridesOfRegionsTakePrecedence(t *testing.T) {
	s, err := ParseSidecar("sidecar.ini", []byte(validSidecarFile+"[regions]\nmerkato = x\n"),
		Overrides{"regions.merkato": "y", "regions.piassa": "addis"}, Overrides{"regions.merkato": "addis"})
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Regions, map[string]string{"merkato": "addis", "piassa": "addis"})
}

// Guards against defects of the section that are accepted silently.
func TestRegionFindings(t *testing.T) {
	for _, c := range []struct{ name, section, want string }{
		{"no region", "[regions]\nmerkato =\n", "sidecar.ini:15: regions.merkato: a value is needed"},
		{"other region for the own data centre", "[regions]\nbole = dire\n", `sidecar.ini:15: regions.bole: "dire" is not instance.region, "addis"`},
		{"section below it", "[regions.more]\nmerkato = addis\n", "sidecar.ini:15: regions.more.merkato: unknown setting"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseSidecar("sidecar.ini", []byte(validSidecarFile+c.section))
			assert.Error(t, err, c.want)
		})
	}
	_, err := ParseSidecar("sidecar.ini", []byte(strings.Replace(validSidecarFile, "name = n", "name = n\ncolour = red", 1)))
	assert.ErrorContains(t, err, "instance.colour: unknown setting")
}
