package bench

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/peer"
	"github.com/walldrift/walldrift/internal/standin"
)

// Plan describes a fleet of separate processes. The plan command writes it, the other
// commands read it.
type Plan struct {
	Platform string     `json:"platform"` // ip:port
	Nodes    []PlanNode `json:"nodes"`
}

// PlanNode is one node of a plan and its upstream.
type PlanNode struct {
	Name       string        `json:"name"`
	Service    string        `json:"service"`
	DataCentre string        `json:"dc"`
	Callers    string        `json:"callers"`  // ip:port
	Admin      string        `json:"admin"`    // ip:port
	Upstream   string        `json:"upstream"` // ip:port
	Slots      int           `json:"slots"`
	Work       time.Duration `json:"work"`
	Settings   string        `json:"settings"` // path of the settings file
}

// Files in a plan's directory, and the ports reserved for each node.
const (
	planFile     = "plan.json"
	tableFile    = "table.csv"
	listFile     = "instances.json"
	keysDir      = "keys"
	settingsDir  = "nodes"
	portsPerNode = 4
)

// PlanConfig describes a fleet for which WritePlan writes a plan.
type PlanConfig struct {
	Dir        string
	BasePort   int
	Placements []standin.Placement
	Table      []byte
	// ExtraSettings is INI text that is appended to the settings of every node.
	ExtraSettings string
}

// WritePlan writes the plan, table, instance list, certificates and settings files of a
// fleet to cfg.Dir.
func WritePlan(cfg PlanConfig) (*Plan, error) {
	if err := os.MkdirAll(filepath.Join(cfg.Dir, settingsDir), 0o755); err != nil {
		return nil, errors.Wrap(err, "plan")
	}
	plan := &Plan{Platform: loopback(cfg.BasePort)}
	peers := make(map[string]netip.AddrPort, len(cfg.Placements))
	var names []string
	for i, p := range cfg.Placements {
		port := cfg.BasePort + portsPerNode*(i+1)
		n := PlanNode{
			Name: p.Name, Service: p.Service, DataCentre: p.DataCentre,
			Callers: loopback(port), Admin: loopback(port + 1), Upstream: loopback(port + 2),
			Slots: max(p.Group.Slots, 1), Work: p.Group.ServiceTime,
			Settings: filepath.Join(cfg.Dir, settingsDir, p.Name+".ini"),
		}
		peers[p.Name] = netip.MustParseAddrPort(loopback(port + 3))
		plan.Nodes = append(plan.Nodes, n)
		names = append(names, p.Name)
		ini := nodeINI(cfg, plan.Platform, n, p, peers[p.Name])
		if err := os.WriteFile(n.Settings, []byte(ini), 0o644); err != nil {
			return nil, errors.Wrap(err, "plan")
		}
	}
	authority, err := peer.NewAuthority()
	if err != nil {
		return nil, err
	}
	if err := authority.WriteFiles(filepath.Join(cfg.Dir, keysDir), names); err != nil {
		return nil, err
	}
	return plan, writePlanFiles(cfg, plan, peers)
}

func writePlanFiles(cfg PlanConfig, plan *Plan, peers map[string]netip.AddrPort) error {
	encoded, err := json.MarshalIndent(plan, "", " ")
	if err != nil {
		return err
	}
	list := standin.List(uint64(time.Now().UnixMilli()), cfg.Placements, peers)
	for name, raw := range map[string][]byte{planFile: encoded, tableFile: cfg.Table, listFile: list} {
		if err := os.WriteFile(filepath.Join(cfg.Dir, name), raw, 0o644); err != nil {
			return errors.Wrap(err, "plan")
		}
	}
	return nil
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func nodeINI(cfg PlanConfig, platform string, n PlanNode, p standin.Placement, peers netip.AddrPort) string {
	keys := filepath.Join(cfg.Dir, keysDir)
	lines := []string{
		"[instance]", "name = " + n.Name, "service = " + n.Service, "data_centre = " + p.DataCentre, "region = " + p.Region,
		"[listen]", "callers = " + n.Callers, "admin = " + n.Admin, "peers = " + peers.String(),
		"[upstream]", "address = http://" + n.Upstream, fmt.Sprintf("slots = %d", n.Slots),
		"[platform]", "address = http://" + platform,
		"[tls]", "certificate = " + peer.CertFile(keys, n.Name), "key = " + peer.KeyFile(keys, n.Name),
		"authority = " + filepath.Join(keys, peer.AuthorityFile),
		"[log]", "format = json",
		cfg.ExtraSettings, "",
	}
	return strings.Join(lines, "\n")
}

// ReadPlan reads the plan that WritePlan wrote to dir.
func ReadPlan(dir string) (*Plan, error) {
	raw, err := os.ReadFile(filepath.Join(dir, planFile))
	if err != nil {
		return nil, errors.Wrap(err, "plan")
	}
	var p Plan
	return &p, errors.Wrap(json.Unmarshal(raw, &p), "plan")
}
