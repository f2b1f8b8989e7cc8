package fleet

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/walldrift/walldrift/internal/distribution"
	"github.com/walldrift/walldrift/internal/platform"
	"github.com/walldrift/walldrift/internal/settings"
	"github.com/walldrift/walldrift/internal/standin"
	"github.com/walldrift/walldrift/internal/table"
)

// A graceful shutdown lets an upload and a slow response in progress complete.
func TestShutdownCutsNothingInFlight(t *testing.T) {
	f := startSmall(t, Config{})
	upload := bytes.Repeat([]byte("p"), 1<<20)
	results := make(chan response, 4)
	for _, via := range []string{"look-1", "pay-1"} { // through a peer and through the node that shuts down
		go func() {
			slowBody := io.MultiReader(bytes.NewReader(upload[:1000]), &pausedReader{wait: 300 * time.Millisecond}, bytes.NewReader(upload))
			results <- send(t, f, via, "POST", "/pay/x", map[string]string{standin.HeaderServiceTime: "300"}, slowBody)
		}()
		go func() {
			results <- send(t, f, via, "GET", "/look/x", map[string]string{standin.HeaderServiceTime: "500"}, nil)
		}()
	}
	time.Sleep(150 * time.Millisecond)
	assert.NilError(t, f.StopNode("pay-1"))
	for range 4 {
		r := <-results
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusOK, "%s", r.body)
	}
}

// pausedReader waits once and reads nothing.
type pausedReader struct{ wait time.Duration }

func (p *pausedReader) Read([]byte) (int, error) {
	time.Sleep(p.wait)
	return 0, io.EOF
}

func TestNodeStartsFromPeersDuringPlatformOutage(t *testing.T) {
	f := startSmall(t, Config{})
	f.Platform.SetDown(true)
	assert.NilError(t, f.StopNode("look-2"))
	seeds := f.Node("look-1").Instance()
	f.cfg.Settings = func(n *settings.Node) { fastSettings(n); setSeed(n, seeds.Name, seeds.Peer) }
	assert.NilError(t, f.StartNode("look-2"))
	awaitTable(t, f, smallLayout().Table())
	r := send(t, f, "look-2", "GET", "/look/x", nil, nil)
	assert.Equal(t, r.status, http.StatusOK)
}

func setSeed(n *settings.Node, name string, addr netip.AddrPort) {
	n.Seeds = []distribution.Seed{{Name: name, Addr: addr}}
}

// Two data centres are partitioned, and only one still reaches the platform. Both must
// keep serving requests; the other one follows the platform once the partition heals.
func TestPartitionBothSidesServeAndAgree(t *testing.T) {
	f := startSmall(t, Config{InjectFaults: true, Settings: func(n *settings.Node) {
		fastSettings(n)
		if n.DataCentre == "dc-2" {
			n.Platform = &url.URL{Scheme: "http", Host: "127.0.0.1:9"} // nothing listens there
			n.StartTimeout = time.Minute
			n.Seeds = []distribution.Seed{{Name: n.Name, Addr: n.Peers}}
		}
	}})
	f.Network.SetPartition("dc-1", "dc-2", true)
	next, err := table.ApplyEdits(smallLayout().Table(), table.Edit{Row: table.RowUpstream, Name: "pay-1", Column: table.ColWeight, Value: "3"})
	assert.NilError(t, err)
	f.Platform.Put(platform.KeyTable, next)
	served := map[string]int{}
	for range 6 {
		for _, n := range []string{"pay-1", "pay-2"} { // one on each side
			r := send(t, f, n, "GET", "/look/x", nil, nil)
			if r.status == http.StatusOK {
				served[n]++
			}
		}
	}
	assert.Assert(t, served["pay-1"] > 0 && served["pay-2"] > 0, "%v", served)
	assert.Equal(t, f.Node("pay-2").Table().Edition, uint64(1))
	f.Network.SetPartition("dc-1", "dc-2", false)
	awaitTable(t, f, next)
	assert.Assert(t, f.Network.Dropped() > 0)
}

// One datagram in five is lost; every edit must still reach every node.
func TestEditsReachAllUnderLoss(t *testing.T) {
	f := startSmall(t, Config{InjectFaults: true})
	f.Network.SetLoss(0.2)
	raw := smallLayout().Table()
	for i := range 5 {
		var err error
		raw, err = table.ApplyEdits(raw, table.Edit{Row: table.RowUpstream, Name: "pay-1", Column: table.ColWeight, Value: fmt.Sprint(2 + i)})
		assert.NilError(t, err)
		f.Platform.Put(platform.KeyTable, raw)
		awaitTable(t, f, raw)
	}
	assert.Assert(t, f.Network.Dropped() > 0)
}

// Guards against nodes that stop following the list because of one instance that another
// program has added.
func TestListWithAnOddInstanceIsFollowed(t *testing.T) {
	f := startSmall(t, Config{})
	revision := uint64(time.Now().UnixMilli()) + 1
	odd := fmt.Sprintf(`"instances": [{"name":"x","dc":"dc-1","peer":"127.0.0.1:99999","state":"live","more":%s%s},`, strings.Repeat("[", 20000), strings.Repeat("]", 20000))
	list := standin.List(revision, f.cfg.Placements, f.peerAddrs)
	f.Platform.Put(platform.KeyInstances, bytes.Replace(list, []byte(`"instances": [`), []byte(odd), 1))
	end := time.Now().Add(startTimeout)
	for !listInForce(t, f, revision) {
		assert.Assert(t, time.Now().Before(end), "revision %d of the list is not in force", revision)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, send(t, f, "look-1", "GET", "/look/x", nil, nil).status, http.StatusOK)
}

// listInForce reports whether all nodes have a revision of the list in force.
func listInForce(t *testing.T, f *Fleet, revision uint64) bool {
	nodes, err := f.Node("look-1").QueryStatus(t.Context())
	assert.NilError(t, err)
	for _, n := range nodes {
		if n.List.Edition != revision {
			return false
		}
	}
	return len(nodes) == len(f.cfg.Placements)
}
