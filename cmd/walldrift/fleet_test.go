package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/bench"
	"github.com/walldrift/walldrift/internal/platform"
	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/standin"
	"github.com/walldrift/walldrift/internal/table"
)

// processFleet is a fleet of separate processes: platform, upstreams and nodes.
type processFleet struct {
	t        *testing.T
	dir      string
	plan     *bench.Plan
	commands map[string]*exec.Cmd
}

const testSettings = `[ledger]
skew = 1ms
settle = 500ms
[shutdown]
announce = 100ms
`

func startProcessFleet(t *testing.T) *processFleet {
	t.Helper()
	layout := standin.Kerbline()
	p := &processFleet{t: t, dir: t.TempDir(), commands: make(map[string]*exec.Cmd)}
	var err error
	p.plan, err = bench.WritePlan(bench.PlanConfig{
		Dir: p.dir, BasePort: freePorts(t, 80), Placements: layout.Placements(), Table: layout.Table(), ExtraSettings: testSettings,
	})
	assert.NilError(t, err)
	t.Cleanup(p.stopAll)
	p.startPlatform()
	p.start("upstreams", "bench", "upstreams", "--dir", p.dir)
	for _, n := range p.plan.Nodes {
		p.startNode(n.Name)
	}
	p.awaitTable("1-")
	return p
}

// freePorts returns the start of a range of n free ports below the ephemeral ones. It
// begins to look at a place that depends on this process, so that tests that run at the
// same time do not take the same ports.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	const first, last = 21000, 32000
	ranges := (last - first) / n
	for i := range ranges {
		base := first + (os.Getpid()+i)%ranges*n
		if allFree(base, n) {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}

// allFree reports whether n ports are free for TCP.
func allFree(base, n int) bool {
	for port := base; port < base+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (p *processFleet) startPlatform() {
	p.start("platform", "standin", "platform", "--listen", p.plan.Platform,
		"--table", filepath.Join(p.dir, "table.csv"), "--instances", filepath.Join(p.dir, "instances.json"))
}

func (p *processFleet) startNode(name string) {
	p.start(name, "node", "--config", filepath.Join(p.dir, "nodes", name+".ini"))
}

func (p *processFleet) start(name string, args ...string) {
	log, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	assert.NilError(p.t, err)
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(p.t, cmd.Start())
	p.commands[name] = cmd
}

func (p *processFleet) signal(name string, s syscall.Signal) {
	assert.NilError(p.t, p.commands[name].Process.Signal(s))
}

// kill ends a process with SIGKILL.
func (p *processFleet) kill(name string) {
	p.signal(name, syscall.SIGKILL)
	_ = p.commands[name].Wait()
	delete(p.commands, name)
}

func (p *processFleet) stopAll() {
	for _, cmd := range p.commands {
		_ = cmd.Process.Kill()
	}
	for _, cmd := range p.commands {
		_ = cmd.Wait()
	}
}

func (p *processFleet) node(name string) bench.PlanNode {
	for _, n := range p.plan.Nodes {
		if n.Name == name {
			return n
		}
	}
	p.t.Fatalf("no node %s", name)
	return bench.PlanNode{}
}

// awaitTable waits until every running node is ready and its table version has the given
// prefix.
func (p *processFleet) awaitTable(prefix string) {
	p.t.Helper()
	behind := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		behind = ""
		for _, n := range p.plan.Nodes {
			if p.commands[n.Name] != nil && !p.hasTable(n, prefix) {
				behind = n.Name
			}
		}
		if behind == "" {
			return
		}
	}
	p.t.Fatalf("%s does not hold %s", behind, prefix)
}

func (p *processFleet) hasTable(n bench.PlanNode, prefix string) bool {
	st, ok := p.nodeStatus(n)
	return ok && st.Ready && strings.HasPrefix(st.Node.Table, prefix)
}

type statusPage struct {
	Ready bool `json:"ready"`
	Node  struct {
		Table string `json:"table"`
	} `json:"node"`
}

var httpClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (p *processFleet) nodeStatus(n bench.PlanNode) (statusPage, bool) {
	var st statusPage
	resp, err := httpClient.Get("http://" + n.Admin + "/status")
	if err != nil {
		return st, false
	}
	defer func() { _ = resp.Body.Close() }()
	return st, json.NewDecoder(resp.Body).Decode(&st) == nil
}

// publishEdit publishes the table with one upstream's weight changed and returns the
// prefix of its version: the edition and a hyphen.
func (p *processFleet) publishEdit(weight int) string {
	p.t.Helper()
	url := "http://" + p.plan.Platform + platform.PathPrefix + platform.KeyTable
	resp, err := httpClient.Get(url + "?raw")
	assert.NilError(p.t, err)
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(p.t, err)
	assert.NilError(p.t, resp.Body.Close())
	next, err := table.ApplyEdits(raw, table.Edit{Row: table.RowUpstream, Name: "tariff-1", Column: table.ColWeight, Value: fmt.Sprint(weight)})
	assert.NilError(p.t, err)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(next))
	assert.NilError(p.t, err)
	resp, err = httpClient.Do(req)
	assert.NilError(p.t, err)
	assert.NilError(p.t, resp.Body.Close())
	return fmt.Sprintf("%d-", table.EditionOf(next))
}

// sendRequest sends a request to the node via and returns the response's status, outcome
// header and body, and the request's ID. The status is 0 if no response arrived.
func (p *processFleet) sendRequest(via, method, path string) (status int, outcome string, e standin.Echo, id string) {
	id = uuid.Must(uuid.NewV7()).String()
	req, err := http.NewRequest(method, "http://"+p.node(via).Callers+path, strings.NewReader("body"))
	assert.NilError(p.t, err)
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header["idempotency-key"] = []string{id}
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, "", e, id
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK {
		assert.NilError(p.t, json.Unmarshal(b, &e))
		assert.Equal(p.t, e.RequestID, id)
	}
	return resp.StatusCode, resp.Header.Get(proxy.HeaderOutcome), e, id
}

// runCounts returns how often each request ID ran on all upstreams together.
func (p *processFleet) runCounts() map[string]int {
	total := make(map[string]int)
	for _, n := range p.plan.Nodes {
		resp, err := httpClient.Get("http://" + n.Upstream + "/standin/runs")
		assert.NilError(p.t, err)
		var counts map[string]int
		assert.NilError(p.t, json.NewDecoder(resp.Body).Decode(&counts))
		_ = resp.Body.Close()
		for id, c := range counts {
			total[id] += c
		}
	}
	return total
}
