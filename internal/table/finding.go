package table

import (
	"fmt"

	"github.com/walldrift/walldrift/internal/finding"
)

// Rule is the check that a finding comes from.
type Rule string

// The rules of the acceptance check.
const (
	RuleEncoding    Rule = "encoding"
	RuleSize        Rule = "size"
	RuleHeader      Rule = "header"
	RuleRowType     Rule = "row-type"
	RuleEdition     Rule = "edition"
	RuleName        Rule = "name"
	RuleMissing     Rule = "missing"
	RuleUnused      Rule = "unused-column"
	RuleNumber      Rule = "number"
	RuleRange       Rule = "range"
	RuleDuplicate   Rule = "duplicate"
	RuleReference   Rule = "reference"
	RuleAllZero     Rule = "all-weights-zero"
	RuleNoUpstream  Rule = "no-upstream"
	RulePrefix      Rule = "prefix"
	RuleIdempotency Rule = "idempotency"
)

// Finding is one defect of a table, with its row and column.
type Finding struct {
	Row     int    `json:"row"` // line of the file from 1; 0 means the whole file
	Column  Column `json:"column,omitempty"`
	Rule    Rule   `json:"rule"`
	Message string `json:"message"`
}

// String formats the finding as "row 5, column weight: range: message".
func (f Finding) String() string {
	place := "table"
	if f.Row > 0 {
		place = fmt.Sprintf("row %d", f.Row)
	}
	if f.Column != "" {
		place += ", column " + string(f.Column)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Rule, f.Message)
}

// Findings is the list of all defects of one table. Use it as an error only if it is not
// empty.
type Findings = finding.List[Finding]

// maxFindings limits the findings kept for one table, so that a malicious file cannot
// exhaust memory.
const maxFindings = 200

// addFinding appends a finding unless there are maxFindings already.
func addFinding(findings *Findings, row int, col Column, rule Rule, format string, args ...any) {
	if len(*findings) >= maxFindings {
		return
	}
	*findings = append(*findings, Finding{Row: row, Column: col, Rule: rule, Message: fmt.Sprintf(format, args...)})
}
