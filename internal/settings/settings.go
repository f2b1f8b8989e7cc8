// Package settings reads the INI file of a node or sidecar, with overrides from
// environment variables and flags. All defects are reported together, with file, line and
// key.
package settings

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/walldrift/walldrift/internal/distribution"
)

// Node holds the checked settings of a node that gets its table from the platform's
// configuration service and identifies itself with a certificate. For the meaning of each
// setting, see Fields.
type Node struct {
	Name       string
	Service    string
	DataCentre string
	Region     string

	Callers netip.AddrPort // TCP, HTTP requests from callers
	Peers   netip.AddrPort // UDP, traffic with other nodes
	Admin   netip.AddrPort // TCP, status, metrics and health

	Upstream     *url.URL
	HealthPath   string
	HealthPeriod time.Duration
	Slots        int
	Queue        int

	Platform     *url.URL
	Seeds        []distribution.Seed
	ReadSpread   time.Duration
	WatchWait    time.Duration
	StartTimeout time.Duration

	Certificate string
	Key         string
	Authority   string

	DigestInterval   time.Duration
	Readers          int
	SuspicionTimeout time.Duration

	MaxInFlight    int
	MaxConnections int
	ConnectionIdle time.Duration
	RetryRatio     float64

	LedgerWindow time.Duration
	LedgerSkew   time.Duration
	LedgerSettle time.Duration

	ShutdownAnnounce time.Duration
	ShutdownTimeout  time.Duration

	LogLevel  string
	LogFormat string
}
