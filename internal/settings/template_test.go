package settings

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// renderEach renders the block of a name once for each entry, as the platform does.
func renderEach(template, name string, entries [][2]string) string {
	before, rest, _ := strings.Cut(template, "{{#"+name+"}}")
	block, after, _ := strings.Cut(rest, "{{/"+name+"}}")
	var out strings.Builder
	out.WriteString(before)
	for _, e := range entries {
		out.WriteString(strings.NewReplacer("{{@}}", e[0], "{{.}}", e[1]).Replace(block))
	}
	return out.String() + after
}

// Guards against entries that the template loses, joins or comments out, with any number
// of data centres.
func TestDeployTemplateListsRegions(t *testing.T) {
	template, err := os.ReadFile("../../deploy/sidecar.ini")
	assert.NilError(t, err)
	_, section, ok := strings.Cut(string(template), "[regions]")
	assert.Assert(t, ok)
	for _, c := range []struct {
		name    string
		entries [][2]string
		want    map[string]string
	}{
		{"none", nil, nil},
		{"one", [][2]string{{"bole", "addis"}}, map[string]string{"bole": "addis"}},
		{"three", [][2]string{{"bole", "addis"}, {"merkato", "addis"}, {"dire", "east"}}, map[string]string{"bole": "addis", "merkato": "addis", "dire": "east"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			rendered := strings.ReplaceAll(renderEach("[regions]"+section, "Zones", c.entries), "{{Bounds.GraceS}}", "6")
			s, err := ParseSidecar("sidecar.ini", []byte(validSidecarFile+rendered))
			assert.NilError(t, err)
			assert.DeepEqual(t, s.Regions, c.want)
		})
	}
}
