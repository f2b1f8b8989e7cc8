package table

import "strings"

// Limits of single values.
const (
	maxRetries   = 5
	maxTimeoutMS = 3_600_000
)

// check tests the relations between rows: unique keys, known references,
// usable weights. It collects every defect.
func check(t *Table) Findings {
	var fs Findings
	services := uniqueNames(&fs, t.Services, func(s Service) (int, string) { return s.Row, s.Name })
	upstreams := uniqueNames(&fs, t.Upstreams, func(u Upstream) (int, string) { return u.Row, u.Name })
	uniqueNames(&fs, t.Routes, func(r Route) (int, string) { return r.Row, r.Name })

	weights := make(map[string]float64, len(t.Services))
	counts := make(map[string]int, len(t.Services))
	for _, u := range t.Upstreams {
		if _, ok := services[u.Service]; !ok && u.Service != "" {
			add(&fs, u.Row, ColService, RuleReference, "no service %q", u.Service)
		}
		weights[u.Service] += u.Weight
		counts[u.Service]++
	}
	for _, s := range t.Services {
		switch {
		case counts[s.Name] == 0:
			add(&fs, s.Row, ColName, RuleNoUpstream, "service %q has no upstream", s.Name)
		case weights[s.Name] == 0:
			add(&fs, s.Row, ColName, RuleAllZero, "every upstream of %q has weight 0", s.Name)
		}
	}
	checkRoutes(&fs, t, services, upstreams)
	return fs
}

func uniqueNames[T any](fs *Findings, rows []T, key func(T) (int, string)) map[string]T {
	seen := make(map[string]T, len(rows))
	for _, r := range rows {
		row, name := key(r)
		if prev, twice := seen[name]; twice && name != "" {
			at, _ := key(prev)
			add(fs, row, ColName, RuleDuplicate, "%q already stands in row %d", name, at)
			continue
		}
		seen[name] = r
	}
	return seen
}

func checkRoutes(fs *Findings, t *Table, services map[string]Service, upstreams map[string]Upstream) {
	matches := make(map[string]int, len(t.Routes))
	for _, r := range t.Routes {
		if _, ok := services[r.Service]; !ok && r.Service != "" {
			add(fs, r.Row, ColService, RuleReference, "dangling route: no service %q", r.Service)
		}
		for _, share := range r.Split {
			if _, ok := services[share.Service]; !ok {
				add(fs, r.Row, ColSplit, RuleReference, "dangling route: no service %q", share.Service)
			}
		}
		if r.Upstream != "" {
			u, ok := upstreams[r.Upstream]
			if !ok {
				add(fs, r.Row, ColUpstream, RuleReference, "dangling route: no upstream %q", r.Upstream)
			} else if u.Service != r.Service {
				add(fs, r.Row, ColUpstream, RuleReference, "upstream %q belongs to service %q", r.Upstream, u.Service)
			}
		}
		if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
			add(fs, r.Row, ColPrefix, RulePrefix, "%q does not start with a slash", r.Prefix)
		}
		if r.Retries > maxRetries {
			add(fs, r.Row, ColRetries, RuleRange, "%d is more than %d", r.Retries, maxRetries)
		}
		if ms := r.Timeout.Milliseconds(); ms < 1 || ms > maxTimeoutMS {
			add(fs, r.Row, ColTimeout, RuleRange, "%d is outside 1 to %d", ms, maxTimeoutMS)
		}
		key := strings.Join(r.Methods, " ") + " " + r.Host + r.Prefix
		if at, twice := matches[key]; twice && r.Prefix != "" {
			add(fs, r.Row, ColPrefix, RuleDuplicate, "row %d already matches %q", at, strings.TrimSpace(key))
		}
		matches[key] = r.Row
	}
}
