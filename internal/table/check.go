package table

import "strings"

const (
	maxRetries   = 5
	maxTimeoutMS = 3_600_000
)

// check verifies what a single cell cannot show: that names are unique, that references
// resolve, and that each service has an upstream with a weight above 0. It also checks
// the values of the routes. It reports every defect, not only the first.
func check(t *Table) Findings {
	var findings Findings
	services := indexByName(&findings, t.Services, func(s Service) (int, string) { return s.Row, s.Name })
	upstreams := indexByName(&findings, t.Upstreams, func(u Upstream) (int, string) { return u.Row, u.Name })
	indexByName(&findings, t.Routes, func(r Route) (int, string) { return r.Row, r.Name })

	totalWeights := make(map[string]float64, len(t.Services))
	upstreamCounts := make(map[string]int, len(t.Services))
	for _, u := range t.Upstreams {
		if _, ok := services[u.Service]; !ok && u.Service != "" {
			addFinding(&findings, u.Row, ColService, RuleReference, "no service %q", u.Service)
		}
		totalWeights[u.Service] += u.Weight
		upstreamCounts[u.Service]++
	}
	for _, s := range t.Services {
		switch {
		case upstreamCounts[s.Name] == 0:
			addFinding(&findings, s.Row, ColName, RuleNoUpstream, "service %q has no upstream", s.Name)
		case totalWeights[s.Name] == 0:
			addFinding(&findings, s.Row, ColName, RuleAllZero, "every upstream of %q has weight 0", s.Name)
		}
	}
	checkRoutes(&findings, t, services, upstreams)
	return findings
}

// indexByName maps the rows by name; key returns the row number and the name of a row. A
// name that is used twice is reported, and the first row with it is the one returned.
func indexByName[T any](findings *Findings, rows []T, key func(T) (int, string)) map[string]T {
	seen := make(map[string]T, len(rows))
	for _, r := range rows {
		row, name := key(r)
		if first, duplicate := seen[name]; duplicate && name != "" {
			firstRow, _ := key(first)
			addFinding(findings, row, ColName, RuleDuplicate, "%q already stands in row %d", name, firstRow)
			continue
		}
		seen[name] = r
	}
	return seen
}

// checkRoutes checks the references and values of each route, and that no two routes have
// the same methods, host and prefix.
func checkRoutes(findings *Findings, t *Table, services map[string]Service, upstreams map[string]Upstream) {
	rowsByMatch := make(map[string]int, len(t.Routes))
	for _, r := range t.Routes {
		if _, ok := services[r.Service]; !ok && r.Service != "" {
			addFinding(findings, r.Row, ColService, RuleReference, "dangling route: no service %q", r.Service)
		}
		for _, share := range r.Split {
			if _, ok := services[share.Service]; !ok {
				addFinding(findings, r.Row, ColSplit, RuleReference, "dangling route: no service %q", share.Service)
			}
		}
		if r.Upstream != "" {
			u, ok := upstreams[r.Upstream]
			if !ok {
				addFinding(findings, r.Row, ColUpstream, RuleReference, "dangling route: no upstream %q", r.Upstream)
			} else if u.Service != r.Service {
				addFinding(findings, r.Row, ColUpstream, RuleReference, "upstream %q belongs to service %q", r.Upstream, u.Service)
			}
		}
		if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
			addFinding(findings, r.Row, ColPrefix, RulePrefix, "%q does not start with a slash", r.Prefix)
		}
		if r.Retries > maxRetries {
			addFinding(findings, r.Row, ColRetries, RuleRange, "%d is more than %d", r.Retries, maxRetries)
		}
		if ms := r.Timeout.Milliseconds(); ms < 1 || ms > maxTimeoutMS {
			addFinding(findings, r.Row, ColTimeout, RuleRange, "%d is outside 1 to %d", ms, maxTimeoutMS)
		}
		key := strings.Join(r.Methods, " ") + " " + r.Host + r.Prefix
		if firstRow, duplicate := rowsByMatch[key]; duplicate && r.Prefix != "" {
			addFinding(findings, r.Row, ColPrefix, RuleDuplicate, "row %d already matches %q", firstRow, strings.TrimSpace(key))
		}
		rowsByMatch[key] = r.Row
	}
}
