package settings

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/discovery"
)

// Sidecar holds the checked settings of a sidecar: a node on a platform that publishes
// tables and upstreams in a store and issues no certificates.
type Sidecar struct {
	Name       string
	Service    string
	DataCentre string
	Region     string
	LinkMbps   float64 // link rate of the machine in Mbit/s; 0 if not known
	// Regions maps data centres to their regions; nil if no region but the own is known.
	Regions map[string]string

	Callers netip.AddrPort // TCP, HTTP from callers
	Peers   netip.AddrPort // TCP, requests from other sidecars; the same port on all
	Ready   netip.AddrPort // TCP, readiness
	Metrics netip.AddrPort // TCP, metrics; not served if zero

	Upstream netip.AddrPort
	Slots    int

	Store netip.AddrPort
	// LeavingBound and TableBound are the times from publication within which the
	// platform requires the shutdown of an upstream and a table to be in force.
	LeavingBound, TableBound time.Duration
	// WatchWait and PeerMaxStaleness replace the defaults of WatchWait and
	// PeerMaxStaleness in discovery.Config; 0 keeps them.
	WatchWait, PeerMaxStaleness time.Duration
	NodesPerReader              int

	MaxInFlight          int
	MaxCallerConnections int
	BufferLimit          int
	RetryRatio           float64
	RetryReserve         int

	ShutdownAnnounce time.Duration
	ShutdownTimeout  time.Duration

	MemoryLimit int // MiB
	GCPercent   int

	LogLevel  string
	LogFormat string
}

// SidecarFields returns all settings of a sidecar in the order of the reference page.
func SidecarFields() []Field[Sidecar] { return sidecarFields }

var sidecarFields = []Field[Sidecar]{
	textField("instance", "name", required, "name of the machine, for logs", func(s *Sidecar) *string { return &s.Name }),
	textField("instance", "service", required, "service of the upstream beside the sidecar", func(s *Sidecar) *string { return &s.Service }),
	textField("instance", "data_centre", required, "data centre of the machine", func(s *Sidecar) *string { return &s.DataCentre }),
	textField("instance", "region", required, "region of the data centre", func(s *Sidecar) *string { return &s.Region }),

	positiveField("instance", "link", "Mbit/s", "", "rate of the machine's link; long transfers are paced and admitted by it; those with the greatest read the store and tell the others; not known by default, all alike", func(s *Sidecar) *float64 { return &s.LinkMbps }),

	entriesField("regions", "region", "region of the data centre that is the key; upstreams of other data centres of the own region get requests when they are expected to answer sooner; a data centre without an entry counts as another region", func(s *Sidecar) *map[string]string { return &s.Regions }),

	addressField("listen", "callers", required, "TCP address for HTTP from callers", func(s *Sidecar) *netip.AddrPort { return &s.Callers }),
	addressField("listen", "peers", required, "TCP address for requests from other sidecars, the same port on every machine", func(s *Sidecar) *netip.AddrPort { return &s.Peers }),
	addressField("listen", "ready", required, "TCP address for readiness", func(s *Sidecar) *netip.AddrPort { return &s.Ready }),
	addressField("listen", "metrics", "", "TCP address for metrics in the Prometheus text format; none by default", func(s *Sidecar) *netip.AddrPort { return &s.Metrics }),

	addressField("upstream", "address", required, "HTTP address of the upstream beside the sidecar", func(s *Sidecar) *netip.AddrPort { return &s.Upstream }),
	countField("upstream", "slots", "requests", "12", "requests the upstream works on at once, until the store tells", func(s *Sidecar) *int { return &s.Slots }),

	addressField("store", "address", required, "address of the store that publishes tables and upstreams", func(s *Sidecar) *netip.AddrPort { return &s.Store }),
	durationField("store", "leaving_bound", "2s", "time in which a published leaving must be in force, as the platform wants it", func(s *Sidecar) *time.Duration { return &s.LeavingBound }),
	durationField("store", "table_bound", "2s", "time in which a published table must be in force, as the platform wants it", func(s *Sidecar) *time.Duration { return &s.TableBound }),
	durationField("store", "watch_wait", "", "longest wait of one watch of a reader; longer costs fewer calls, but must end well within news_max_age; if not set, 35% of the lesser bound, 700ms at most", func(s *Sidecar) *time.Duration { return &s.WatchWait }),
	durationField("store", "news_max_age", "", "age of the newest news at which a sidecar turns from its readers to the store itself; longer forgives slower readers, shorter leaves cut ones sooner; if not set, 65% of the lesser bound, 1300ms at most", func(s *Sidecar) *time.Duration { return &s.PeerMaxStaleness }),
	countField("store", "nodes_per_reader", "sidecars", "24", "sidecars of a data centre for which one of them reads the store; more costs fewer calls, fewer spreads the news over more machines", func(s *Sidecar) *int { return &s.NodesPerReader }),

	countField("requests", "max_in_flight", "requests", "4096", "callers' requests in progress; one more is refused", func(s *Sidecar) *int { return &s.MaxInFlight }),
	countField("requests", "max_caller_connections", "connections", "1024", "connections of callers; one more ends the one that has been silent for longest, or is closed; at most half of the process's descriptors are used for them; more serves larger crowds, fewer takes less memory, some 50 KB each in a crowd", func(s *Sidecar) *int { return &s.MaxCallerConnections }),
	countField("requests", "buffer_limit", "bytes", "524288", "longest request body kept for a further try; more can be tried again, fewer takes less memory", func(s *Sidecar) *int { return &s.BufferLimit }),
	ratioField("requests", "retry_ratio", "retries per request", "0.15", "further tries at upstreams earned by each request; the fleet's sum must stay under what the platform allows", func(s *Sidecar) *float64 { return &s.RetryRatio }),
	countField("requests", "retry_reserve", "retries", "3", "further tries saved up by one sidecar; times the number of sidecars it must stay under what the platform allows", func(s *Sidecar) *int { return &s.RetryReserve }),

	durationField("shutdown", "announce", "2500ms", "time between announcing the leave and refusing new work; two missed readiness checks of a second each, and some", func(s *Sidecar) *time.Duration { return &s.ShutdownAnnounce }),
	durationField("shutdown", "timeout", "6s", "time from the signal until the process is killed; what still runs at seven eighths of it is cut and reported", func(s *Sidecar) *time.Duration { return &s.ShutdownTimeout }),

	countField("memory", "limit", "MiB", "64", "size from which the garbage collector works harder to stay under it", func(s *Sidecar) *int { return &s.MemoryLimit }),

	countField("memory", "gc_percent", "percent", "40", "growth of the heap until it is collected; less takes less memory and more processor time", func(s *Sidecar) *int { return &s.GCPercent }),

	choiceField("log", "level", "info", []string{"debug", "info", "warn", "error"}, "least level written", func(s *Sidecar) *string { return &s.LogLevel }),
	choiceField("log", "format", "json", []string{"text", "json"}, "form of the log lines", func(s *Sidecar) *string { return &s.LogFormat }),
}

// LoadSidecar reads the settings file of a sidecar and applies overrides; see Load.
func LoadSidecar(file string, overrides ...Overrides) (*Sidecar, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return ParseSidecar(file, raw, overrides...)
}

// ParseSidecar is like LoadSidecar, but takes the content of the file from raw.
func ParseSidecar(file string, raw []byte, overrides ...Overrides) (*Sidecar, error) {
	s, err := parseFields(sidecarFields, file, raw, overrides)
	if err != nil {
		return nil, err
	}
	if findings := slices.Concat(s.checkStaleness(file), s.checkOwnRegion(file, raw)); len(findings) > 0 {
		return nil, findings
	}
	return s, nil
}

// checkOwnRegion checks that the entry of the own data centre in the section of the
// regions, if there is one, names the own region.
func (s *Sidecar) checkOwnRegion(file string, raw []byte) Findings {
	region, ok := s.Regions[s.DataCentre]
	if !ok || region == s.Region {
		return nil
	}
	return Findings{{File: file, Line: newLoader(file, raw).lineOf("regions", s.DataCentre), Key: "regions." + s.DataCentre,
		Message: fmt.Sprintf("%q is not instance.region, %q", region, s.Region)}}
}

// Discovery returns the configuration of the follower, which gets tables and upstreams
// from the store or from other sidecars. It is derived from the lesser of the two bounds.
func (s *Sidecar) Discovery() discovery.Config {
	c := discovery.ConfigFor(min(s.LeavingBound, s.TableBound))
	if s.WatchWait > 0 {
		c.WatchWait = s.WatchWait
	}
	if s.PeerMaxStaleness > 0 {
		c.PeerMaxStaleness = s.PeerMaxStaleness
	}
	c.NodesPerReader = s.NodesPerReader
	c.LinkMbps = uint32(min(math.Ceil(s.LinkMbps), math.MaxUint32))
	c.Self, c.DataCentre, c.PeerPort = s.Upstream, s.DataCentre, s.Peers.Port()
	c.Regions = s.Regions
	return c
}

// checkStaleness checks that the maximum staleness is longer than a watch of the store,
// and that changes are in force within the bounds even if one call of the store gets no
// response.
func (s *Sidecar) checkStaleness(file string) Findings {
	var findings Findings
	c := s.Discovery()
	if c.WatchWait >= c.PeerMaxStaleness {
		findings = append(findings, Finding{File: file, Key: "store.watch_wait",
			Message: fmt.Sprintf("%v is not less than store.news_max_age, %v: every sidecar would read the store", c.WatchWait, c.PeerMaxStaleness)})
	}
	if !c.WithinChangeBound() {
		findings = append(findings, Finding{File: file, Key: "store.news_max_age",
			Message: fmt.Sprintf("%v is too much for a bound of %v: if one call of the store gets no response, the staleness reaches %v before the next call, whose response may take up to %v", c.PeerMaxStaleness, c.ChangeBound, c.MaxStaleness(1), discovery.ResponseAllowance)})
	}
	return findings
}

// SidecarEnvironment returns the overrides of a sidecar's settings from environment
// variables.
func SidecarEnvironment() Overrides { return environmentOverrides(sidecarFields) }
