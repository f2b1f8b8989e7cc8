package kit

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine. They are the same on all machines, which differ in their address.
const (
	inboundPort  = 8624
	readyPort    = 8625
	targetPort   = 8628
	outboundPort = 8629
)

// Bounds of the deployment, those of the kerbline-scot sheet.
const (
	DrainMs       = 2000
	ConfigApplyMs = 2000
	GraceS        = 6
)

// Fleet is a small deployment on loopback addresses.
type Fleet struct {
	Store    *Store
	Dir      string // temporary
	Linked   bool   // a Link stands before each sidecar's Inbound address
	LinkMbps int    // Limits.LinkMbps of the machines
	MemoryMb int    // Limits.MemoryMb; 0: not watched

	block     string
	storeAddr string
	machines  []*Machine
	sources   sync.Map // address of the last machine of a service
}

// Machine is one machine with a target and a sidecar.
type Machine struct {
	Name, Zone, Service string
	IP                  string // published with the target
	Outbound, Ready     string
	AppAddr             string
	Link                *Link // before Inbound; nil unless Fleet.Linked

	config string
	log    *os.File
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// NewFleet starts the store of a fleet without machines.
func NewFleet() (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: NewStore(), Dir: dir, LinkMbps: 1000}
	f.block = fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), rand.IntN(250))
	l, err := net.Listen("tcp", f.block+".250:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = l.Addr().String()
	server := &http.Server{Handler: f.Store}
	go func() { _ = server.Serve(l) }()
	return f, nil
}

// Add prepares a machine.
func (f *Fleet) Add(zone, service string) (*Machine, error) {
	n := len(f.machines) + 1
	m := &Machine{Name: fmt.Sprintf("sidecar-%s-%d", zone, n), Zone: zone, Service: service, IP: fmt.Sprintf("%s.%d", f.block, n)}
	own := m.IP
	if f.Linked {
		own = fmt.Sprintf("%s.%d", f.block, 100+n)
		link, err := newLink(fmt.Sprintf("%s:%d", m.IP, inboundPort), fmt.Sprintf("%s:%d", own, inboundPort), &f.sources)
		if err != nil {
			return nil, err
		}
		m.Link = link
		f.sources.Store(service, own)
	}
	m.Outbound, m.Ready = fmt.Sprintf("%s:%d", own, outboundPort), fmt.Sprintf("%s:%d", own, readyPort)
	m.AppAddr = fmt.Sprintf("%s:%d", m.IP, targetPort)
	template, err := os.ReadFile("deploy/sidecar.ini")
	if err != nil {
		return nil, err
	}
	settings := render(string(template), map[string]string{
		"Node": m.Name, "Service": service, "Zone": zone, "Region": "region-1", "Ip": own, "AppAddr": m.AppAddr,
		"Limits.LinkMbps": fmt.Sprint(f.LinkMbps),
		"Listen.Outbound": m.Outbound, "Listen.Ready": m.Ready, "Listen.Inbound": fmt.Sprintf("%s:%d", own, inboundPort),
		"Platform.Address": f.storeAddr,
		"Bounds.DrainMs":   fmt.Sprint(DrainMs), "Bounds.ConfigApplyMs": fmt.Sprint(ConfigApplyMs), "Bounds.GraceS": fmt.Sprint(GraceS),
	})
	m.config = filepath.Join(f.Dir, m.Name+".ini")
	if err := os.WriteFile(m.config, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	if m.log, err = os.Create(filepath.Join(f.Dir, m.Name+".log")); err != nil {
		return nil, err
	}
	f.machines = append(f.machines, m)
	return m, nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z.]+)\}\}`)
)

// render fills in the placeholders of the settings template.
func render(template string, values map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		parts := section.FindStringSubmatch(s)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(s string) string { return values[strings.Trim(s, "{}")] })
}

// Start starts the sidecar of the machine with the command of the deploy file.
func (m *Machine) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	cmd := exec.Command("target/walldrift", "sidecar", "--config", m.config)
	// The processor list of a machine reports one core, and the runtime goes by that.
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

// Signal sends a signal to the sidecar.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// Pid returns the process id of the sidecar.
func (m *Machine) Pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// Wait waits for the end of the sidecar and reports whether it ended in time.
func (m *Machine) Wait(limit time.Duration) bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// IsReady reports whether the sidecar answers its readiness check.
func (m *Machine) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.Ready + "/walldrift/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// StartAll starts all sidecars and waits until they are ready.
func (f *Fleet) StartAll() error {
	for _, m := range f.machines {
		if err := m.Start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range f.machines {
		for !m.IsReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes. The logs stay if KEEP_LOGS is set.
func (f *Fleet) Close() {
	for _, m := range f.machines {
		m.Signal(syscall.SIGKILL)
		if m.exited != nil {
			m.Wait(2 * time.Second)
		}
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs in", f.Dir)
		return
	}
	_ = os.RemoveAll(f.Dir)
}

// Register publishes a target, ready.
func (f *Fleet) Register(m *Machine, id string, slots int) {
	f.Store.Put("servers/"+id, map[string]any{
		"Address": m.AppAddr, "Zone": m.Zone, "Service": m.Service, "Seq": 1,
		"Info":   map[string]any{"Service": m.Service, "Version": "1", "Zone": m.Zone, "Slots": slots},
		"Status": map[string]any{"State": "ready", "Seq": 1, "ColdRemainingMs": 0},
	})
}

// Route is a route of the configuration.
type Route struct {
	Name, Host, Prefix, Kind, Service       string
	TimeoutMs, AimMs, Priority, MaxAttempts int
}

// Configure publishes a configuration and returns its length.
func (f *Fleet) Configure(version int, routes []Route) int {
	seen := map[string]bool{}
	services := []map[string]any{}
	for _, r := range routes {
		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, map[string]any{"Name": r.Service, "HealthPath": "/health", "ColdStartS": 0, "ColdPerS": 0})
		}
	}
	return f.Store.Put("op/config", map[string]any{
		"Version": fmt.Sprintf("%08x", version), "Routes": routes, "Services": services,
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 15000},
	})
}
