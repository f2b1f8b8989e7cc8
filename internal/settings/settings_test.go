package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

const validFile = `[instance]
name = pay-1
service = pay
data_centre = dc-1
region = r
[listen]
callers = 127.0.0.1:8080
peers = 127.0.0.1:7000
admin = 127.0.0.1:9000
[upstream]
address = http://127.0.0.1:8600
slots = 18
[platform]
address = http://127.0.0.1:8500
seeds = pay-2@127.0.0.1:7001, pay-3@127.0.0.1:7002
[tls]
certificate = c.pem
key = k.pem
authority = ca.pem
`

func TestParseValidFile(t *testing.T) {
	n, err := Parse("node.ini", []byte(validFile))
	assert.NilError(t, err)
	assert.Equal(t, n.Slots, 18)
	assert.Equal(t, n.ShutdownTimeout, 30*time.Second)
	assert.Equal(t, len(n.Seeds), 2)
	assert.Equal(t, n.Seeds[1].Name, "pay-3")
}

func TestLaterOverridesTakePrecedence(t *testing.T) {
	n, err := Parse("node.ini", []byte(validFile), Overrides{"upstream.slots": "3", "log.level": "warn"}, Overrides{"upstream.slots": "4"})
	assert.NilError(t, err)
	assert.Equal(t, n.Slots, 4)
	assert.Equal(t, n.LogLevel, "warn")
}

func TestEnvironmentOverrides(t *testing.T) {
	t.Setenv("WALLDRIFT_UPSTREAM_SLOTS", "7")
	n, err := Parse("node.ini", []byte(validFile), Environment())
	assert.NilError(t, err)
	assert.Equal(t, n.Slots, 7)
}

// Parse reports all findings together, each with its line and key.
func TestParseReportsAllFindings(t *testing.T) {
	raw := strings.NewReplacer("slots = 18", "slots = many\ncolour = red", "service = pay", "", "127.0.0.1:7000", "here").Replace(validFile)
	_, err := Parse("node.ini", []byte(raw), Overrides{"log.loudness": "11", "requests.retry_ratio": "NaN"})
	var findings Findings
	assert.Assert(t, errors.As(err, &findings))
	var got []string
	for _, f := range findings {
		got = append(got, f.String())
	}
	assert.DeepEqual(t, got, []string{
		"node.ini:13: upstream.colour: unknown setting",
		"node.ini: instance.service: a value is needed",
		`node.ini:8: listen.peers: "here" is not ip:port`,
		`node.ini:12: upstream.slots: "many" is not a positive whole number`,
		`node.ini: requests.retry_ratio: "NaN" is not a number from 0 to 1`,
		"node.ini: log.loudness: unknown setting in an override",
	})
}

func TestReferencePageNamesEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	assertOnPage(t, string(page), Fields())
	_, sidecars, ok := strings.Cut(string(page), "## Settings of a sidecar")
	assert.Assert(t, ok)
	assertOnPage(t, sidecars, SidecarFields())
}

// assertOnPage checks that the page has the name, unit and description of each field.
func assertOnPage[T any](t *testing.T, page string, fields []Field[T]) {
	t.Helper()
	for _, f := range fields {
		assert.Assert(t, strings.Contains(page, "| `"+f.Section+"."+f.Key+"` | "+f.Unit+" |"), "docs/SETTINGS.md lacks %s.%s", f.Section, f.Key)
		assert.Assert(t, strings.Contains(page, f.Doc))
	}
}

// The template in deploy/sidecar.ini is a valid settings file once its placeholders are
// filled in, and an invalid one before.
func TestDeployTemplate(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/sidecar.ini")
	assert.NilError(t, err)
	filled := strings.NewReplacer(
		"{{Node}}", "n", "{{Service}}", "s", "{{Zone}}", "z", "{{Region}}", "r", "{{Ip}}", "10.0.0.1",
		"{{Listen.Outbound}}", "10.0.0.1:1", "{{Listen.Inbound}}", "10.0.0.1:2", "{{Listen.Ready}}", "10.0.0.1:3",
		"{{AppAddr}}", "10.0.0.1:4", "{{Platform.Address}}", "10.0.0.2:5", "{{Bounds.GraceS}}", "6",
		"{{#Limits.LinkMbps}}", "", "{{Limits.LinkMbps}}", "140.0", "{{/Limits.LinkMbps}}", "",
		"{{#Bounds.DrainMs}}", "", "{{Bounds.DrainMs}}", "1500", "{{/Bounds.DrainMs}}", "",
		"{{#Bounds.ConfigApplyMs}}", "", "{{Bounds.ConfigApplyMs}}", "2500", "{{/Bounds.ConfigApplyMs}}", "",
	).Replace(string(raw))
	cfg, err := ParseSidecar("sidecar.ini", []byte(filled))
	assert.NilError(t, err)
	assert.Equal(t, cfg.Store.String(), "10.0.0.2:5")
	assert.Equal(t, cfg.Metrics.String(), "10.0.0.1:9464")
	_, err = ParseSidecar("sidecar.ini", raw)
	assert.ErrorContains(t, err, "sidecar.ini:11: listen.callers")
	_, err = ParseSidecar("sidecar.ini", []byte(filled), Overrides{"store.watch_wait": "2s"})
	assert.ErrorContains(t, err, "store.watch_wait: 2s is not less than store.news_max_age")
	assert.Equal(t, cfg.Discovery().LinkMbps, uint32(140))
	assert.Equal(t, cfg.Discovery().ChangeBound, 1500*time.Millisecond)
	_, err = ParseSidecar("sidecar.ini", []byte(filled), Overrides{"store.news_max_age": "1300ms"})
	assert.ErrorContains(t, err, "store.news_max_age: 1.3s is too much for a bound of 1.5s")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("[a\nb=\n%(x)s"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		n, err := Parse("node.ini", raw)
		assert.Equal(t, n == nil, err != nil)
	})
}
