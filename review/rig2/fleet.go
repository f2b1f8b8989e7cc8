package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the deployment, as the pages give them for the small sites.
const (
	drainMs       = 2000
	configApplyMs = 2000
	graceS        = 6
	recoverS      = 15
	touchMs       = 3000 // StabilityWindowMs
	memoryMb      = 284
	linkMbps      = 1000.0
)

// errSetup ends the script with status 2.
type errSetup struct{ err error }

func check(err error) {
	if err != nil {
		panic(errSetup{err})
	}
}

// machine is a sidecar process with the target beside it.
type machine struct {
	f      *fleet
	name   string
	ip     string // of the target, and of the sidecar unless a link lies before it
	target *target
	config string

	callers, peers, ready string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

type fleet struct {
	root     string // of the repository
	dir      string // temporary folder
	trouble  bool
	store    *store
	machines []*machine
	retired  []*machine // machines that have left
	runs     *runLog
	peerPort int
	hosts    int     // addresses given to machines
	mbps     float64 // rate of the machines' links; 0: linkMbps
	net      int     // second byte of the addresses
	record   *bufio.Writer
	recordMu sync.Mutex
	started  time.Time
	links    func(m *machine) (nodeIP string) // nil: the sidecar listens at the machine's own address
}

func newFleet(root, recordFile string) *fleet {
	dir, err := os.MkdirTemp("", "review-rig2-")
	check(err)
	out, err := os.Create(recordFile)
	check(err)
	f := &fleet{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: bufio.NewWriter(out), started: time.Now(),
		runs: &runLog{runs: make(map[string][]run), done: make(map[string]time.Time)}}
	f.net = 20 + os.Getpid()%200
	f.peerPort = f.freePort()
	f.store = newStore(f.addr(250))
	return f
}

// addr returns a loopback address of this run.
func (f *fleet) addr(host int) string { return fmt.Sprintf("127.%d.7.%d", f.net, host) }

// freePort returns a port below the range of the system's own choices, with nine free ones
// after it.
func (f *fleet) freePort() int {
	for try := range 200 {
		port := 11000 + (os.Getpid()*13+try*17)%18000
		free := true
		for p := port; p < port+10 && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.addr(1), p))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return port
		}
	}
	check(fmt.Errorf("no free port"))
	return 0
}

// logf writes a line of the record.
func (f *fleet) logf(format string, args ...any) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	fmt.Fprintf(f.record, "%8.3f ", time.Since(f.started).Seconds())
	fmt.Fprintf(f.record, format+"\n", args...)
}

// say writes a line of the record and to standard output.
func (f *fleet) say(format string, args ...any) {
	f.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (f *fleet) addMachine(service, zone string, slots int) *machine {
	f.hosts++
	n := f.hosts
	m := &machine{f: f, name: fmt.Sprintf("sidecar-%s-%d", zone, n), ip: f.addr(n)}
	m.target = &target{f: f, addr: fmt.Sprintf("%s:%d", m.ip, f.peerPort+5), service: service, zone: zone, nSlots: slots, slots: make(chan struct{}, slots+slots/2)}
	nodeIP := m.ip
	if f.links != nil {
		nodeIP = f.links(m)
	}
	m.peers = fmt.Sprintf("%s:%d", nodeIP, f.peerPort)
	m.callers = fmt.Sprintf("%s:%d", nodeIP, f.peerPort+1)
	m.ready = fmt.Sprintf("%s:%d", nodeIP, f.peerPort+2)
	f.machines = append(f.machines, m)
	m.writeConfig(nodeIP)
	return m
}

// writeConfig fills in the template of the deploy file.
func (m *machine) writeConfig(nodeIP string) {
	raw, err := os.ReadFile(filepath.Join(m.f.root, "deploy", "sidecar.ini"))
	check(err)
	text := string(raw)
	for name, value := range map[string]string{
		"Node": m.name, "Service": m.target.service, "Zone": m.target.zone, "Region": "r", "Ip": nodeIP,
		"Limits.LinkMbps": strconv.FormatFloat(cmp.Or(m.f.mbps, linkMbps), 'f', 1, 64),
		"Listen.Outbound": m.callers, "Listen.Inbound": m.peers, "Listen.Ready": m.ready,
		"AppAddr": m.target.addr, "Platform.Address": m.f.store.addr,
		"Bounds.DrainMs": strconv.Itoa(drainMs), "Bounds.ConfigApplyMs": strconv.Itoa(configApplyMs), "Bounds.GraceS": strconv.Itoa(graceS),
	} {
		text = strings.NewReplacer("{{#"+name+"}}", "", "{{/"+name+"}}", "", "{{"+name+"}}", value).Replace(text)
	}
	if strings.Contains(text, "{{") {
		check(fmt.Errorf("placeholder left in the template:\n%s", text))
	}
	text = strings.ReplaceAll(text, nodeIP+":9464", fmt.Sprintf("%s:%d", nodeIP, m.f.peerPort+3))
	m.config = filepath.Join(m.f.dir, m.name+".ini")
	check(os.WriteFile(m.config, []byte(text), 0o600))
}

// start starts the sidecar by the command of the deploy file.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(m.f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command("target/walldrift", "sidecar", "--config", m.config)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.f.root, out, out
	check(cmd.Start())
	_ = out.Close()
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() { _ = cmd.Wait(); close(exited) }()
	m.f.logf("start %s pid %d", m.name, cmd.Process.Pid)
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.f.logf("signal %v to %s", s, m.name)
		_ = m.cmd.Process.Signal(s)
	}
}

// running reports whether the process has not ended.
func (m *machine) running() bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.wait()
}

func (m *machine) wait() {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// rss returns the resident memory of the process in MB.
func (m *machine) rss() float64 {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	parts := strings.Fields(string(raw))
	if len(parts) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(parts[1])
	return float64(pages*os.Getpagesize()) / 1e6
}

// startAll starts targets and sidecars and waits until all are ready.
func (f *fleet) startAll() {
	for _, m := range f.machines {
		m.target.start()
	}
	for _, m := range f.machines {
		m.start()
	}
	f.waitReady(15 * time.Second)
}

func (f *fleet) waitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, m := range f.machines {
		for !m.isReady() {
			if time.Now().After(end) {
				check(fmt.Errorf("%s is not ready", m.name))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.ready + "/walldrift/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) close() {
	for _, m := range append(f.machines, f.retired...) {
		if m.running() {
			m.kill()
		}
	}
	_ = f.record.Flush()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

var lastID atomic.Int64

func nextID() string {
	return fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(os.Getpid())<<20+uint64(lastID.Add(1)))
}

// reply is what a client got. Status 0 means that the connection ended without a complete
// answer.
type reply struct {
	id        string
	sent, end time.Time
	status    int
	signed    bool
	body      string
	err       error
}

// client keeps connections as the clients of the pages do.
type client struct {
	f    *fleet
	http *http.Client
}

func newClient(f *fleet) *client {
	return &client{f: f, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 8 * time.Second}}}
}

// send sends one request and reads the whole answer.
func (c *client) send(m *machine, method, path string, body io.Reader, deadline time.Duration, headers ...string) reply {
	r := reply{id: nextID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.callers+path, body)
	check(err)
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Walldrift-Request-Id", r.id)
	req.Header.Set("X-Walldrift-Request-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := c.http.Do(req)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.body, r.signed = string(raw), resp.Header.Get("X-Walldrift-Response-Signature") != ""
		if err == nil {
			r.status = resp.StatusCode
		}
	}
	r.end, r.err = time.Now(), err
	c.f.logf("request %s %s %s by %s sent %.3f status %d signed %v took %.3f err %v", r.id, method, path, m.name, r.sent.Sub(c.f.started).Seconds(), r.status, r.signed, r.end.Sub(r.sent).Seconds(), r.err)
	return r
}

const host = "shop.example"

// config is the value under op/config.
type config struct {
	Version  string
	Routes   []route
	Services []service
	Tenants  []tenant `json:",omitempty"`
	Limits   limits
}

type route struct {
	Name, Host, Prefix, Kind   string
	TimeoutMs, AimMs, Priority int
	Service                    string
	MaxAttempts                int
}

type service struct {
	Name, HealthPath string
	MaxConnections   int
	Protocol         string
	Tls              bool
}

type tenant struct {
	Name     string
	ApiKeys  []string
	RatePerS float64
	Burst    float64
}

type limits struct{ MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int }

func newConfig(version int, services ...string) config {
	c := config{Version: fmt.Sprintf("%08x", version), Limits: limits{16384, 67108864, 3000, 15000}}
	for _, s := range services {
		c.Services = append(c.Services, service{s, "/health", 130, "h1", false})
	}
	return c
}

func (c *config) add(prefix, kind, service string, timeoutMs, aimMs int) {
	c.Routes = append(c.Routes, route{Name: "r-" + strings.ReplaceAll(strings.Trim(prefix, "/"), "/", "-"), Host: host, Prefix: prefix, Kind: kind, TimeoutMs: timeoutMs, AimMs: aimMs, Priority: 1, Service: service, MaxAttempts: 2})
}
