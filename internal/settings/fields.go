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

// Field describes one setting of the settings T.
type Field[T any] struct {
	Section string
	Key     string
	Unit    string
	Default string // empty together with Required false means "not set"
	// Required says that there is no default.
	Required bool
	Doc      string

	set func(n *T, value string) error
}

// Fields lists all settings in the order of the reference page.
func Fields() []Field[Node] { return fields }

var fields = []Field[Node]{
	text("instance", "name", required, "name of the instance, as in the table and the certificate", func(n *Node) *string { return &n.Name }),
	text("instance", "service", required, "service that the upstream belongs to", func(n *Node) *string { return &n.Service }),
	text("instance", "data_centre", required, "data centre of the instance", func(n *Node) *string { return &n.DataCentre }),
	text("instance", "region", required, "region of the data centre", func(n *Node) *string { return &n.Region }),

	address("listen", "callers", required, "TCP address for HTTP from callers", func(n *Node) *netip.AddrPort { return &n.Callers }),
	address("listen", "peers", required, "UDP address for other nodes", func(n *Node) *netip.AddrPort { return &n.Peers }),
	address("listen", "admin", required, "TCP address for status, metrics and health", func(n *Node) *netip.AddrPort { return &n.Admin }),

	link("upstream", "address", required, "HTTP address of the upstream beside the node", func(n *Node) *(*url.URL) { return &n.Upstream }),
	text("upstream", "health_path", "/health", "path that answers \"draining\" when the upstream leaves; empty for none", func(n *Node) *string { return &n.HealthPath }),
	duration("upstream", "health_period", "1s", "time between health requests", func(n *Node) *time.Duration { return &n.HealthPeriod }),
	count("upstream", "slots", "requests", "12", "requests the upstream works on at once, where the table gives no concurrency", func(n *Node) *int { return &n.Slots }),
	count("upstream", "queue", "requests", "12", "requests that may wait for a slot; more smooths bursts, fewer keeps the wait short", func(n *Node) *int { return &n.Queue }),

	link("platform", "address", required, "HTTP address of the configuration service", func(n *Node) *(*url.URL) { return &n.Platform }),
	{Section: "platform", Key: "seeds", Unit: "name@ip:port, ...", Doc: "nodes asked for list and table before the platform is", set: setSeeds},
	duration("platform", "read_spread", "1s", "time over which starting nodes spread their first read; about the number of nodes over 400", func(n *Node) *time.Duration { return &n.ReadSpread }),
	duration("platform", "watch_wait", "30s", "longest wait of one blocking watch", func(n *Node) *time.Duration { return &n.WatchWait }),
	duration("platform", "start_timeout", "1m", "time after which a node that found no table gives up", func(n *Node) *time.Duration { return &n.StartTimeout }),

	text("tls", "certificate", required, "PEM file of the instance's certificate", func(n *Node) *string { return &n.Certificate }),
	text("tls", "key", required, "PEM file of its private key", func(n *Node) *string { return &n.Key }),
	text("tls", "authority", required, "PEM file of the fleet's certificate authority", func(n *Node) *string { return &n.Authority }),

	duration("distribution", "digest_interval", "5s", "mean time between digests on a link; shorter heals sooner, longer costs fewer bytes", func(n *Node) *time.Duration { return &n.DigestInterval }),
	count("distribution", "readers", "nodes", "2", "nodes of each data centre that always watch the platform; the same on all nodes; more ride out more failures at once, fewer spare the platform", func(n *Node) *int { return &n.Readers }),
	duration("distribution", "suspicion_timeout", "5s", "time from suspicion to gone; longer forgives longer pauses", func(n *Node) *time.Duration { return &n.SuspicionTimeout }),

	count("requests", "max_in_flight", "requests", "4096", "callers' requests in progress; one more is refused", func(n *Node) *int { return &n.MaxInFlight }),
	count("requests", "max_connections", "connections", "128", "request connections kept to other nodes, about 70 KB each", func(n *Node) *int { return &n.MaxConnections }),
	duration("requests", "connection_idle", "30s", "time after which an unused request connection is closed", func(n *Node) *time.Duration { return &n.ConnectionIdle }),
	ratio("requests", "retry_ratio", "retries per request", "0.1", "further tries earned by each request", func(n *Node) *float64 { return &n.RetryRatio }),

	duration("ledger", "window", "2m", "time for which a key is remembered, and for which a started node refuses keys that carry no time", func(n *Node) *time.Duration { return &n.LedgerWindow }),
	duration("ledger", "skew", "2s", "clock difference allowed for in keys that carry their time", func(n *Node) *time.Duration { return &n.LedgerSkew }),
	duration("ledger", "settle", "16s", "time within which every node holds a version that one holds; keys born within it of a change of homes are asked about", func(n *Node) *time.Duration { return &n.LedgerSettle }),

	duration("shutdown", "announce", "1s", "time between announcing the leave and refusing new work", func(n *Node) *time.Duration { return &n.DrainAnnounce }),
	duration("shutdown", "timeout", "30s", "longest wait for requests in progress; what it cuts is reported", func(n *Node) *time.Duration { return &n.DrainTimeout }),

	choice("log", "level", "info", []string{"debug", "info", "warn", "error"}, "least level written", func(n *Node) *string { return &n.LogLevel }),
	choice("log", "format", "text", []string{"text", "json"}, "form of the log lines", func(n *Node) *string { return &n.LogFormat }),
}

// required in place of a default says that there is none.
const required = "\x00"

func newField[T any](section, key, unit, def, doc string, set func(*T, string) error) Field[T] {
	f := Field[T]{Section: section, Key: key, Unit: unit, Default: def, Doc: doc, set: set}
	if def == required {
		f.Default, f.Required = "", true
	}
	return f
}

func text[T any](section, key, def, doc string, at func(*T) *string) Field[T] {
	return newField(section, key, "text", def, doc, func(n *T, v string) error {
		*at(n) = v
		return nil
	})
}

func choice[T any](section, key, def string, values []string, doc string, at func(*T) *string) Field[T] {
	return newField(section, key, strings.Join(values, ", "), def, doc, func(n *T, v string) error {
		for _, allowed := range values {
			if v == allowed {
				*at(n) = v
				return nil
			}
		}
		return errors.Newf("%q is none of %s", v, strings.Join(values, ", "))
	})
}

func address[T any](section, key, def, doc string, at func(*T) *netip.AddrPort) Field[T] {
	return newField(section, key, "ip:port", def, doc, func(n *T, v string) error {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return errors.Newf("%q is not ip:port", v)
		}
		*at(n) = a
		return nil
	})
}

func link[T any](section, key, def, doc string, at func(*T) **url.URL) Field[T] {
	return newField(section, key, "http://ip:port", def, doc, func(n *T, v string) error {
		u, err := url.Parse(v)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return errors.Newf("%q is not an http address", v)
		}
		*at(n) = u
		return nil
	})
}

func duration[T any](section, key, def, doc string, at func(*T) *time.Duration) Field[T] {
	return newField(section, key, "duration", def, doc, func(n *T, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return errors.Newf("%q is not a positive duration such as 500ms or 2s", v)
		}
		*at(n) = d
		return nil
	})
}

func count[T any](section, key, unit, def, doc string, at func(*T) *int) Field[T] {
	return newField(section, key, unit, def, doc, func(n *T, v string) error {
		c, err := strconv.Atoi(v)
		if err != nil || c <= 0 {
			return errors.Newf("%q is not a positive whole number", v)
		}
		*at(n) = c
		return nil
	})
}

func ratio[T any](section, key, unit, def, doc string, at func(*T) *float64) Field[T] {
	return newField(section, key, unit, def, doc, func(n *T, v string) error {
		r, err := strconv.ParseFloat(v, 64)
		if err != nil || !(r >= 0 && r <= 1) {
			return errors.Newf("%q is not a number from 0 to 1", v)
		}
		*at(n) = r
		return nil
	})
}

func amount[T any](section, key, unit, def, doc string, at func(*T) *float64) Field[T] {
	return newField(section, key, unit, def, doc, func(n *T, v string) error {
		r, err := strconv.ParseFloat(v, 64)
		if err != nil || !(r > 0) || math.IsInf(r, 0) {
			return errors.Newf("%q is not a positive number", v)
		}
		*at(n) = r
		return nil
	})
}

func setSeeds(n *Node, v string) error {
	n.Seeds = nil
	for _, part := range strings.FieldsFunc(v, func(r rune) bool { return r == ',' || r == ' ' }) {
		name, addr, ok := strings.Cut(part, "@")
		a, err := netip.ParseAddrPort(addr)
		if !ok || name == "" || err != nil {
			return errors.Newf("%q is not name@ip:port", part)
		}
		n.Seeds = append(n.Seeds, distribution.Seed{Name: name, Addr: a})
	}
	return nil
}
