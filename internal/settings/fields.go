package settings

import (
	"math"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/distribution"
)

// Field describes one setting and how it is stored in T, which is Node or Sidecar.
type Field[T any] struct {
	Section string
	Key     string
	Unit    string
	Default string // if empty and Required is false, the setting is not set by default
	// Required reports that the setting has no default and must be given.
	Required bool
	// Doc is the description on the reference page.
	Doc string

	// set parses value and stores it; nil if Key is anyKey.
	set func(n *T, value string) error
	// setEntry stores one entry of a section with free keys; nil unless Key is anyKey.
	setEntry func(n *T, key, value string) error
}

// Fields returns all settings of a node in the order of the reference page.
func Fields() []Field[Node] { return nodeFields }

var nodeFields = []Field[Node]{
	textField("instance", "name", required, "name of the instance, as in the table and the certificate", func(n *Node) *string { return &n.Name }),
	textField("instance", "service", required, "service that the upstream belongs to", func(n *Node) *string { return &n.Service }),
	textField("instance", "data_centre", required, "data centre of the instance", func(n *Node) *string { return &n.DataCentre }),
	textField("instance", "region", required, "region of the data centre", func(n *Node) *string { return &n.Region }),

	addressField("listen", "callers", required, "TCP address for HTTP from callers", func(n *Node) *netip.AddrPort { return &n.Callers }),
	addressField("listen", "peers", required, "UDP address for other nodes", func(n *Node) *netip.AddrPort { return &n.Peers }),
	addressField("listen", "admin", required, "TCP address for status, metrics and health", func(n *Node) *netip.AddrPort { return &n.Admin }),

	urlField("upstream", "address", required, "HTTP address of the upstream beside the node", func(n *Node) *(*url.URL) { return &n.Upstream }),
	textField("upstream", "health_path", "/health", "path that answers \"draining\" when the upstream leaves; empty for none", func(n *Node) *string { return &n.HealthPath }),
	durationField("upstream", "health_period", "1s", "time between health requests", func(n *Node) *time.Duration { return &n.HealthPeriod }),
	countField("upstream", "slots", "requests", "12", "requests the upstream works on at once, where the table gives no concurrency", func(n *Node) *int { return &n.Slots }),
	countField("upstream", "queue", "requests", "12", "requests that may wait for a slot; more smooths bursts, fewer keeps the wait short", func(n *Node) *int { return &n.Queue }),

	urlField("platform", "address", required, "HTTP address of the configuration service", func(n *Node) *(*url.URL) { return &n.Platform }),
	{Section: "platform", Key: "seeds", Unit: "name@ip:port, ...", Doc: "nodes asked for list and table before the platform is", set: setSeeds},
	durationField("platform", "read_spread", "1s", "time over which starting nodes spread their first read; about the number of nodes over 400", func(n *Node) *time.Duration { return &n.ReadSpread }),
	durationField("platform", "watch_wait", "30s", "longest wait of one blocking watch", func(n *Node) *time.Duration { return &n.WatchWait }),
	durationField("platform", "start_timeout", "1m", "time after which a node that found no table gives up", func(n *Node) *time.Duration { return &n.StartTimeout }),

	textField("tls", "certificate", required, "PEM file of the instance's certificate", func(n *Node) *string { return &n.Certificate }),
	textField("tls", "key", required, "PEM file of its private key", func(n *Node) *string { return &n.Key }),
	textField("tls", "authority", required, "PEM file of the fleet's certificate authority", func(n *Node) *string { return &n.Authority }),

	durationField("distribution", "digest_interval", "5s", "mean time between digests on a link; shorter heals sooner, longer costs fewer bytes", func(n *Node) *time.Duration { return &n.DigestInterval }),
	countField("distribution", "readers", "nodes", "2", "nodes of each data centre that always watch the platform; the same on all nodes; more ride out more failures at once, fewer spare the platform", func(n *Node) *int { return &n.Readers }),
	durationField("distribution", "suspicion_timeout", "5s", "time from suspicion to gone; longer forgives longer pauses", func(n *Node) *time.Duration { return &n.SuspicionTimeout }),

	countField("requests", "max_in_flight", "requests", "4096", "callers' requests in progress; one more is refused", func(n *Node) *int { return &n.MaxInFlight }),
	countField("requests", "max_connections", "connections", "128", "request connections kept to other nodes, about 70 KB each", func(n *Node) *int { return &n.MaxConnections }),
	durationField("requests", "connection_idle", "30s", "time after which an unused request connection is closed", func(n *Node) *time.Duration { return &n.ConnectionIdle }),
	ratioField("requests", "retry_ratio", "retries per request", "0.1", "further tries earned by each request", func(n *Node) *float64 { return &n.RetryRatio }),

	durationField("ledger", "window", "2m", "time for which a key is remembered, and for which a started node refuses keys that carry no time", func(n *Node) *time.Duration { return &n.LedgerWindow }),
	durationField("ledger", "skew", "2s", "clock difference allowed for in keys that carry their time", func(n *Node) *time.Duration { return &n.LedgerSkew }),
	durationField("ledger", "settle", "16s", "time within which every node holds a version that one holds; keys born within it of a change of homes are asked about", func(n *Node) *time.Duration { return &n.LedgerSettle }),

	durationField("shutdown", "announce", "1s", "time between announcing the leave and refusing new work", func(n *Node) *time.Duration { return &n.ShutdownAnnounce }),
	durationField("shutdown", "timeout", "30s", "longest wait for requests in progress; what it cuts is reported", func(n *Node) *time.Duration { return &n.ShutdownTimeout }),

	choiceField("log", "level", "info", []string{"debug", "info", "warn", "error"}, "least level written", func(n *Node) *string { return &n.LogLevel }),
	choiceField("log", "format", "text", []string{"text", "json"}, "form of the log lines", func(n *Node) *string { return &n.LogFormat }),
}

// required is passed as the default of a setting that must be given.
const required = "\x00"

// newField returns a field whose values are parsed and stored by set. The functions below
// return fields for one type of value each; target returns the place of the value in T.
func newField[T any](section, key, unit, def, doc string, set func(*T, string) error) Field[T] {
	f := Field[T]{Section: section, Key: key, Unit: unit, Default: def, Doc: doc, set: set}
	if def == required {
		f.Default, f.Required = "", true
	}
	return f
}

func textField[T any](section, key, def, doc string, target func(*T) *string) Field[T] {
	return newField(section, key, "text", def, doc, func(n *T, v string) error {
		*target(n) = v
		return nil
	})
}

func choiceField[T any](section, key, def string, values []string, doc string, target func(*T) *string) Field[T] {
	return newField(section, key, strings.Join(values, ", "), def, doc, func(n *T, v string) error {
		for _, allowed := range values {
			if v == allowed {
				*target(n) = v
				return nil
			}
		}
		return errors.Newf("%q is not one of %s", v, strings.Join(values, ", "))
	})
}

func addressField[T any](section, key, def, doc string, target func(*T) *netip.AddrPort) Field[T] {
	return newField(section, key, "ip:port", def, doc, func(n *T, v string) error {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return errors.Newf("%q is not ip:port", v)
		}
		*target(n) = a
		return nil
	})
}

func urlField[T any](section, key, def, doc string, target func(*T) **url.URL) Field[T] {
	return newField(section, key, "http://ip:port", def, doc, func(n *T, v string) error {
		u, err := url.Parse(v)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return errors.Newf("%q is not an HTTP URL", v)
		}
		*target(n) = u
		return nil
	})
}

func durationField[T any](section, key, def, doc string, target func(*T) *time.Duration) Field[T] {
	return newField(section, key, "duration", def, doc, func(n *T, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return errors.Newf("%q is not a positive duration such as 500ms or 2s", v)
		}
		*target(n) = d
		return nil
	})
}

func countField[T any](section, key, unit, def, doc string, target func(*T) *int) Field[T] {
	return newField(section, key, unit, def, doc, func(n *T, v string) error {
		c, err := strconv.Atoi(v)
		if err != nil || c <= 0 {
			return errors.Newf("%q is not a positive whole number", v)
		}
		*target(n) = c
		return nil
	})
}

// ratioField returns a field for a number from 0 to 1.
func ratioField[T any](section, key, unit, def, doc string, target func(*T) *float64) Field[T] {
	return newField(section, key, unit, def, doc, func(n *T, v string) error {
		r, err := strconv.ParseFloat(v, 64)
		if err != nil || !(r >= 0 && r <= 1) {
			return errors.Newf("%q is not a number from 0 to 1", v)
		}
		*target(n) = r
		return nil
	})
}

// positiveField returns a field for a number above 0.
func positiveField[T any](section, key, unit, def, doc string, target func(*T) *float64) Field[T] {
	return newField(section, key, unit, def, doc, func(n *T, v string) error {
		r, err := strconv.ParseFloat(v, 64)
		if err != nil || !(r > 0) || math.IsInf(r, 0) {
			return errors.Newf("%q is not a positive number", v)
		}
		*target(n) = r
		return nil
	})
}

// setSeeds parses name@ip:port entries, separated by commas or spaces.
func setSeeds(n *Node, v string) error {
	n.Seeds = nil
	for _, entry := range strings.FieldsFunc(v, func(r rune) bool { return r == ',' || r == ' ' }) {
		name, addr, ok := strings.Cut(entry, "@")
		a, err := netip.ParseAddrPort(addr)
		if !ok || name == "" || err != nil {
			return errors.Newf("%q is not name@ip:port", entry)
		}
		n.Seeds = append(n.Seeds, distribution.Seed{Name: name, Addr: a})
	}
	return nil
}
