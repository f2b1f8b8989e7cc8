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
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/bench"
	"github.com/walldrift/walldrift/internal/proxy"
	"github.com/walldrift/walldrift/internal/standin"
)

// binary is the path of the program under test, built once in TestMain.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "walldrift")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "walldrift")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// waitTimeout bounds each wait of these tests.
const waitTimeout = 40 * time.Second

func TestRequestsAndTableEditsAcrossProcesses(t *testing.T) {
	p := startProcessFleet(t)
	centres := make(map[string]string)
	for _, n := range p.plan.Nodes {
		centres[n.Name] = n.DataCentre
	}
	crossed := false
	for range 40 {
		status, _, e, _ := p.sendRequest("tariff-1", http.MethodPost, "/payments/x")
		assert.Equal(t, status, http.StatusOK)
		crossed = crossed || centres[e.Upstream] != centres["tariff-1"]
	}
	assert.Assert(t, crossed, "no request reached another data centre")
	p.awaitTable(p.publishEdit(5))
}

// Nodes are killed and paused while callers send non-idempotent requests. No request
// may run twice, and no request that was refused as not run may have run.
func TestKilledAndPausedNodesRunNoRequestTwice(t *testing.T) {
	p := startProcessFleet(t)
	notRun := make(map[string]bool)
	good := 0
	send := func(n int) {
		for i := range n {
			via := []string{"tariff-1", "tariff-2", "enforcement-1"}[i%3]
			status, outcome, _, id := p.sendRequest(via, http.MethodPost, "/payments/x")
			if outcome == string(proxy.OutcomeNotRun) {
				notRun[id] = true
			}
			if status == http.StatusOK {
				good++
			}
		}
	}
	send(20)
	p.kill("payments-1")
	send(30)
	p.signal("payments-2", syscall.SIGSTOP)
	send(20)
	newest := p.publishEdit(3)
	p.signal("payments-2", syscall.SIGCONT)
	p.startNode("payments-1")
	p.awaitTable(newest)
	send(30)
	t.Logf("%d good, %d not run", good, len(notRun))
	assert.Assert(t, good > 50, "%d good answers", good)
	for id, n := range p.runCounts() {
		assert.Assert(t, n <= 1, "%s ran %d times", id, n)
		assert.Assert(t, !notRun[id], "%s was refused as not run and ran", id)
	}
}

// The platform is replaced by one that returns an old table, and later all nodes are
// killed and restarted at once. No node may go back to the old table, every node must
// follow the next edit, and the restarted nodes must make few platform calls.
func TestHerdAndStalePlatform(t *testing.T) {
	p := startProcessFleet(t)
	newest := p.publishEdit(4)
	p.awaitTable(newest)
	p.kill("platform")
	status, _, _, _ := p.sendRequest("tariff-1", http.MethodGet, "/tariff/x")
	assert.Equal(t, status, http.StatusOK, "requests fail while the platform is down")
	p.startPlatform() // publishes edition 1 again, the old table
	time.Sleep(2 * time.Second)
	for _, n := range p.plan.Nodes {
		st, ok := p.nodeStatus(n)
		assert.Assert(t, ok)
		assert.Assert(t, strings.HasPrefix(st.Node.Table, newest), "%s holds %s", n.Name, st.Node.Table)
	}
	p.publishEdit(5) // edition 2 again, with other content
	p.awaitTable(p.publishEdit(6))
	killedAt := time.Now()
	for _, n := range p.plan.Nodes {
		p.kill(n.Name)
	}
	for _, n := range p.plan.Nodes {
		p.startNode(n.Name)
	}
	p.awaitTable("3-")
	// Each node reads the instance list at most once; a reader then watches it, reads
	// the table and watches that. The test bounds the number of calls and not their
	// rate, which depends on the machine. Calls that the killed processes made before
	// their end do not count.
	const readers, callsOfReader = 2 * 3, 3
	calls := p.platformCallsOfProcessesSince(killedAt)
	t.Logf("%d platform calls by the restarted nodes", calls)
	assert.Assert(t, calls <= len(p.plan.Nodes)+readers*callsOfReader, "%d calls", calls)
}

// platformCallsOfProcessesSince returns how many read calls the platform has received from
// node processes that started after a time, and logs all calls since then.
func (p *processFleet) platformCallsOfProcessesSince(start time.Time) (count int) {
	resp, err := httpClient.Get("http://" + p.plan.Platform + "/standin/calls")
	assert.NilError(p.t, err)
	defer func() { _ = resp.Body.Close() }()
	var calls []standin.Call
	assert.NilError(p.t, json.NewDecoder(resp.Body).Decode(&calls))
	for _, c := range calls {
		if c.At.Before(start) {
			continue
		}
		p.t.Log(c)
		if startedAt := processStart(p.t, c.Caller); !startedAt.Before(start.Truncate(time.Millisecond)) {
			count++
		}
	}
	return count
}

// processStart returns when the node process of a User-Agent "walldrift/NAME/MILLISECONDS"
// started.
func processStart(t *testing.T, userAgent string) time.Time {
	ms, err := strconv.ParseInt(userAgent[strings.LastIndex(userAgent, "/")+1:], 10, 64)
	assert.NilError(t, err, userAgent)
	return time.UnixMilli(ms)
}

// slowUpload is a request body that pauses after each of its parts.
type slowUpload struct {
	parts [][]byte
	wait  time.Duration
}

func (u *slowUpload) Read(b []byte) (int, error) {
	if len(u.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(b, u.parts[0])
	if u.parts[0] = u.parts[0][n:]; len(u.parts[0]) == 0 {
		u.parts = u.parts[1:]
		time.Sleep(u.wait)
	}
	return n, nil
}

// The callers' node and all nodes beside the upstreams get SIGTERM while uploads are in
// flight. Every upload must get its complete response, and every node must exit cleanly.
func TestSigtermCutsNoUpload(t *testing.T) {
	p := startProcessFleet(t)
	const uploads = 8
	type result struct {
		status int
		bytes  int
		err    error
	}
	results := make(chan result, uploads)
	for range uploads {
		go func() {
			half := bytes.Repeat([]byte("photo"), 40_000)
			resp, err := httpClient.Post("http://"+p.node("tariff-1").Callers+"/payments/x", "image/jpeg",
				&slowUpload{parts: [][]byte{bytes.Clone(half), bytes.Clone(half)}, wait: 700 * time.Millisecond})
			if err != nil {
				results <- result{err: err}
				return
			}
			defer func() { _ = resp.Body.Close() }()
			var e standin.Echo
			err = json.NewDecoder(resp.Body).Decode(&e)
			results <- result{status: resp.StatusCode, bytes: e.Bytes, err: err}
		}()
	}
	time.Sleep(400 * time.Millisecond) // the first half of each body is sent
	leaving := []string{"tariff-1", "payments-1", "payments-2", "payments-3", "payments-4"}
	for _, n := range leaving {
		p.signal(n, syscall.SIGTERM)
	}
	for range uploads {
		r := <-results
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusOK)
		assert.Equal(t, r.bytes, 400_000)
	}
	for _, n := range leaving {
		assert.NilError(t, p.commands[n].Wait(), "%s exited with an error", n)
		delete(p.commands, n)
	}
}

// runBinary runs the binary and returns its exit code and combined output.
func runBinary(t *testing.T, args ...string) (int, string) {
	t.Helper()
	cmd := exec.Command(binary, args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// The command must exit with the right code and a message that names the cause.
func TestErrorsNameTheirCause(t *testing.T) {
	dir := t.TempDir()
	layout := standin.Kerbline()
	plan, err := bench.WritePlan(bench.PlanConfig{Dir: dir, BasePort: freePorts(t, 80), Placements: layout.Placements(), Table: layout.Table()})
	assert.NilError(t, err)
	good := plan.Nodes[0].Settings
	bad := filepath.Join(dir, "bad.ini")
	assert.NilError(t, os.WriteFile(bad, []byte("[instance]\nname = a\n\n[listen]\ncallers = nowhere\ncolour = red\n"), 0o644))
	badTable := filepath.Join(dir, "bad.csv")
	assert.NilError(t, os.WriteFile(badTable, bytes.Replace(layout.Table(), []byte("route,tariff,tariff"), []byte("route,tariff,toll"), 1), 0o644))
	occupied, err := net.Listen("tcp", plan.Nodes[0].Admin)
	assert.NilError(t, err)
	defer func() { _ = occupied.Close() }()
	cases := []struct {
		name string
		args []string
		code int
		want []string
	}{
		{"no arguments", nil, 2, []string{"SUBCOMMANDS"}},
		{"unknown flag", []string{"node", "--colour"}, 2, []string{"colour"}},
		{"no settings file", []string{"node"}, 2, []string{"--config"}},
		{"invalid settings", []string{"node", "--config", bad}, 1, []string{bad + ":5: listen.callers:", bad + ":6: listen.colour: unknown setting", "upstream.address: a value is needed"}},
		{"invalid override", []string{"node", "--check", "--config", good, "--set", "log.level=loud"}, 1, []string{"log.level", "loud"}},
		{"check of valid settings", []string{"node", "--check", "--config", good}, 0, []string{"no findings"}},
		{"certificate of another instance", []string{"node", "--config", good, "--set", "instance.name=other"}, 1, []string{`certificate for instance "other"`}},
		{"address in use", []string{"node", "--config", good}, 1, []string{"admin address", "in use"}},
		{"platform unreachable", []string{"node", "--config", good, "--set", "listen.admin=127.0.0.1:0", "--set", "platform.start_timeout=1s"}, 1, []string{"no table", plan.Platform}},
		{"invalid table", []string{"table", "check", badTable}, 1, []string{`column service: reference: dangling route: no service "toll"`}},
		{"valid table", []string{"table", "check", filepath.Join(dir, "table.csv")}, 0, []string{"no findings"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, out := runBinary(t, c.args...)
			assert.Equal(t, code, c.code, "%s", out)
			for _, w := range c.want {
				assert.Assert(t, strings.Contains(out, w), "want %q in:\n%s", w, out)
			}
		})
	}
}
