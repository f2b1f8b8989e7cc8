package table

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const validTable = `row,name,service,upstream,weight,rate,concurrency,prefix,methods,kind,kind_weight,timeout_ms,retries,idempotent
table,7,,,,,,,,,,,,
service,tariff,,,,100,,,,,,,,
upstream,tariff-1,tariff,,1,,12,,,,,,,
upstream,tariff-2,tariff,,2.5,,,,,,,,,
route,lookup,tariff,,,,,/tariff,GET HEAD,lookup,1,2000,1,yes
`

func TestParseValidTable(t *testing.T) {
	tbl, findings := Parse([]byte(validTable))
	assert.Equal(t, len(findings), 0, "%v", findings)
	assert.Equal(t, tbl.Edition, uint64(7))
	assert.Equal(t, tbl.Upstreams[1].Weight, 2.5)
	assert.DeepEqual(t, tbl.Routes[0].Methods, []string{"GET", "HEAD"})
}

func TestParseFindings(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           Finding
	}{
		{"route to unknown service", "route,lookup,tariff", "route,lookup,toll", Finding{6, ColService, RuleReference, `dangling route: no service "toll"`}},
		{"route to unknown upstream", "lookup,tariff,,", "lookup,tariff,tariff-9,", Finding{6, ColUpstream, RuleReference, `dangling route: no upstream "tariff-9"`}},
		{"route to another service's upstream", "route,lookup,tariff,,", "service,toll,,,,,,,,,,,,\nupstream,toll-1,toll,,1,,,,,,,,,\nroute,lookup,tariff,toll-1,", Finding{8, ColUpstream, RuleReference, `upstream "toll-1" belongs to service "toll"`}},
		{"upstream of unknown service", "tariff-2,tariff", "tariff-2,toll", Finding{5, ColService, RuleReference, `no service "toll"`}},
		{"duplicate upstream", "upstream,tariff-2", "upstream,tariff-1", Finding{5, ColName, RuleDuplicate, `"tariff-1" already stands in row 4`}},
		{"negative weight", "tariff,,2.5", "tariff,,-2.5", Finding{5, ColWeight, RuleRange, "-2.5 is outside 0 to 1e+09"}},
		{"weight not a number", "tariff,,2.5", "tariff,,NaN", Finding{5, ColWeight, RuleNumber, `"NaN" is not a number`}},
		{"timeout not a number", "2000", "soon", Finding{6, ColTimeout, RuleNumber, `"soon" is not a number`}},
		{"unknown row type", "service,tariff", "sevice,tariff", Finding{3, ColRow, RuleRowType, `"sevice" is none of table, service, upstream, route`}},
		{"value in unused column", "service,tariff,,,,", "service,tariff,,,3,", Finding{3, ColWeight, RuleUnused, "has no meaning in a service row"}},
		{"edition out of range", "table,7", "table,0", Finding{2, ColName, RuleEdition, `"0" is not an edition from 1 to 1000000000000`}},
		{"missing table row", "table,7,,,,,,,,,,,,\n", "", Finding{0, ColRow, RuleEdition, `want exactly one "table" row, found 0`}},
		{"missing idempotent", ",yes", ",", Finding{6, ColIdempotent, RuleIdempotency, `"" is neither yes nor no`}},
		{"prefix without slash", "/tariff", "tariff", Finding{6, ColPrefix, RulePrefix, `"tariff" does not start with a slash`}},
		{"mistyped column", "kind_weight", "kindweight", Finding{1, "kindweight", RuleHeader, `unknown column, did you mean "kind_weight"?`}},
		{"unknown column", "kind_weight", "worth", Finding{1, "worth", RuleHeader, "unknown column"}},
		{"name like a formula", "upstream,tariff-2", "upstream,=cmd|x", Finding{5, ColName, RuleName, `"=cmd|x" begins like a formula`}},
		{"control character in name", "upstream,tariff-2", "upstream,tariff\x07", Finding{5, ColName, RuleName, `"tariff\a" holds a control character`}},
		{"not UTF-8", "lookup", "\xff", Finding{0, "", RuleEncoding, "the file is not UTF-8 text"}},
		{"too many retries", "2000,1", "2000,9", Finding{6, ColRetries, RuleRange, "9 is more than 5"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			raw := strings.Replace(validTable, c.old, c.new, 1)
			assert.Assert(t, raw != validTable)
			tbl, findings := Parse([]byte(raw))
			assert.Assert(t, tbl == nil)
			assert.Assert(t, len(findings) > 0)
			found := false
			for _, f := range findings {
				found = found || f == c.want
			}
			assert.Assert(t, found, "want %v, got %v", c.want, findings)
		})
	}
}

func TestParseReportsAllFindings(t *testing.T) {
	raw := strings.NewReplacer("2.5", "x", "yes", "maybe", "/tariff", "tariff").Replace(validTable)
	_, findings := Parse([]byte(raw))
	assert.Equal(t, len(findings), 3, "%v", findings)
}

// A mistyped column gives one finding that suggests the right name, not two findings for
// an unknown and a missing column.
func TestMistypedColumnIsOneFinding(t *testing.T) {
	_, findings := Parse([]byte(strings.Replace(validTable, "kind_weight", "kindweight", 1)))
	assert.Equal(t, len(findings), 1, "%v", findings)
	_, findings = Parse([]byte(strings.Replace(validTable, "kind_weight", "worth", 1)))
	assert.Equal(t, len(findings), 2, "%v", findings)
}

// Spreadsheet programs write a byte order mark and CRLF line ends. Parse accepts both,
// and ApplyEdits does not write the byte order mark back.
func TestByteOrderMarkAndCRLF(t *testing.T) {
	raw := []byte("\xef\xbb\xbf" + strings.ReplaceAll(validTable, "\n", "\r\n"))
	tbl, findings := Parse(raw)
	assert.Equal(t, len(findings), 0, "%v", findings)
	assert.Equal(t, tbl.Edition, uint64(7))
	next, err := ApplyEdits(raw, Edit{RowUpstream, "tariff-1", ColWeight, "4"})
	assert.NilError(t, err)
	assert.Assert(t, bytes.HasPrefix(next, []byte("row,")))
}

// Host, objective, priority and split are read if the header has their columns.
func TestParseOptionalColumns(t *testing.T) {
	raw := strings.Replace(validTable, "idempotent", "idempotent,host,objective_ms,priority,split", 1)
	raw = strings.Replace(raw, "route,lookup,tariff,", "route,lookup,,", 1)
	raw = strings.Replace(raw, ",yes", ",yes,Shop.example,400,2,tariff=90 tariff=10", 1)
	tbl, findings := Parse([]byte(raw))
	assert.Equal(t, len(findings), 0, "%v", findings)
	r := tbl.Routes[0]
	assert.Equal(t, r.Host, "shop.example")
	assert.Equal(t, r.Objective, 400*time.Millisecond)
	assert.Equal(t, r.Priority, 2)
	assert.DeepEqual(t, r.Split, []Share{{"tariff", 90}, {"tariff", 10}})
	assert.Equal(t, r.Service, "tariff")
	for split, rule := range map[string]Rule{"toll=1": RuleReference, "tariff": RuleNumber, "tariff=-1": RuleNumber} {
		_, findings := Parse([]byte(strings.Replace(raw, "tariff=90 tariff=10", split, 1)))
		assert.Assert(t, len(findings) > 0, split)
		assert.Equal(t, findings[0].Rule, rule)
	}
}

func TestParseAllWeightsZero(t *testing.T) {
	raw := strings.NewReplacer(",,1,,12", ",,0,,12", "2.5", "0").Replace(validTable)
	_, findings := Parse([]byte(raw))
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Rule, RuleAllZero)
}

func TestParseOversize(t *testing.T) {
	_, findings := Parse(bytes.Repeat([]byte("a"), MaxBytes+1))
	assert.Equal(t, findings[0].Rule, RuleSize)
}

func TestSetChangesCellAndIncrementsEdition(t *testing.T) {
	next, err := ApplyEdits([]byte(validTable), Edit{RowUpstream, "tariff-1", ColWeight, "4"})
	assert.NilError(t, err)
	changes, err := Diff([]byte(validTable), next)
	assert.NilError(t, err)
	assert.DeepEqual(t, changes, []Change{
		{RowTable, "edition", ColName, "7", "8"},
		{RowUpstream, "tariff-1", ColWeight, "1", "4"},
	})
	_, err = ApplyEdits([]byte(validTable), Edit{RowUpstream, "tariff-9", ColWeight, "4"})
	assert.ErrorIs(t, err, ErrNoCell)
}

// drawLines draws a text of up to 12 lines from a few different ones, so that lines
// repeat.
func drawLines(t *rapid.T, label string) []byte {
	lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "bb\n", "ccc\n", "\n", "d"}), 0, 12).Draw(t, label)
	return []byte(strings.Join(lines, ""))
}

func TestSplicesGiveNewTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawLines(t, "from"), drawLines(t, "to")
		got, err := ApplySplices(from, ComputeSplices(from, to))
		assert.NilError(t, err)
		assert.Equal(t, string(got), string(to))
	})
}

func TestSpliceOfOneCellIsSmall(t *testing.T) {
	var b strings.Builder
	for i := range 2300 {
		fmt.Fprintf(&b, "upstream,s-%d,s,,1,,12,,,,,,,\n", i)
	}
	from := []byte(b.String())
	to := bytes.Replace(from, []byte("s-1000,s,,1,"), []byte("s-1000,s,,7,"), 1)
	splices := ComputeSplices(from, to)
	assert.Equal(t, len(splices), 1)
	assert.Assert(t, len(splices[0].Insert) < 64)
}

func TestApplyRejectsSpliceBeyondEnd(t *testing.T) {
	_, err := ApplySplices([]byte("abc"), []Splice{{Prefix: 2, Delete: 5}})
	assert.ErrorIs(t, err, ErrSplice)
}

// FuzzParse checks that Parse and EditionOf do not panic on any input and that Parse is
// deterministic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validTable))
	f.Add([]byte("row,name\n\"x"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a, fa := Parse(raw)
		b, fb := Parse(raw)
		assert.Equal(t, a == nil, len(fa) > 0)
		assert.DeepEqual(t, a, b)
		assert.DeepEqual(t, fa, fb)
		EditionOf(raw)
	})
}

func TestDiffOfOptionalColumns(t *testing.T) {
	from := strings.ReplaceAll(strings.TrimSuffix(validTable, "\n"), "\n", ",\n")
	from = strings.Replace(from, "idempotent,", "idempotent,priority", 1) + "1\n"
	from = strings.Replace(from, ",yes1", ",yes,1", 1)
	changes, err := Diff([]byte(from), []byte(strings.Replace(from, ",yes,1", ",yes,2", 1)))
	assert.NilError(t, err)
	assert.DeepEqual(t, changes, []Change{{RowRoute, "lookup", ColPriority, "1", "2"}})
}

// Parse of the result of Format gives the same table except for row numbers.
func TestFormatAndParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b-1", "c"}
		in := &Table{Edition: rapid.Uint64Range(1, MaxEdition).Draw(t, "edition")}
		for _, n := range names {
			in.Services = append(in.Services, Service{Name: n, Rate: rapid.Float64Range(0, 1e6).Draw(t, "rate"), Concurrency: rapid.IntRange(0, 2_000_000).Draw(t, "concurrency")})
			in.Upstreams = append(in.Upstreams, Upstream{Name: n + "-up", Service: n, Weight: rapid.Float64Range(0.1, 9).Draw(t, "weight")})
		}
		service := rapid.SampledFrom(names)
		for i := range rapid.IntRange(0, 4).Draw(t, "routes") {
			r := Route{
				Name: fmt.Sprintf("r%d", i), Service: service.Draw(t, "service"), Host: rapid.SampledFrom([]string{"", "x.example"}).Draw(t, "host"),
				Prefix: fmt.Sprintf("/p%d/", i), Methods: []string{}, Kind: "k,\"1\"", KindWeight: rapid.Float64Range(0, 9).Draw(t, "kind weight"),
				Timeout: time.Duration(rapid.IntRange(1, 60_000).Draw(t, "timeout")) * time.Millisecond, Retries: rapid.IntRange(0, 5).Draw(t, "retries"),
				Idempotent: rapid.Bool().Draw(t, "idempotent"), Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
				Objective: time.Duration(rapid.IntRange(0, 60_000).Draw(t, "objective")) * time.Millisecond,
			}
			if rapid.Bool().Draw(t, "split") {
				r.Split = []Share{{Service: r.Service, Weight: 0.5}, {Service: service.Draw(t, "other"), Weight: 90}}
			}
			in.Routes = append(in.Routes, r)
		}
		raw, err := Format(in)
		assert.NilError(t, err)
		out, findings := Parse(raw)
		assert.Equal(t, len(findings), 0, "%v", findings)
		for i := range out.Services {
			out.Services[i].Row = 0
		}
		for i := range out.Upstreams {
			out.Upstreams[i].Row = 0
		}
		for i := range out.Routes {
			out.Routes[i].Row = 0
		}
		assert.DeepEqual(t, out, in)
	})
}
