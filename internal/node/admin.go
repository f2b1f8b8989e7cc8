package node

import (
	"net/http"
	"net/http/pprof"
	"runtime"

	"github.com/labstack/echo/v4"

	"github.com/walldrift/walldrift/internal/admin"
	"github.com/walldrift/walldrift/internal/admission"
	"github.com/walldrift/walldrift/internal/distribution"
)

// SelfStatus is the JSON document that admin.PathStatus serves.
type SelfStatus struct {
	Node  distribution.NodeStatus `json:"node"`
	Ready bool                    `json:"ready"`
	// InForceSinceMicros is when the table came into force, in microseconds since the Unix epoch.
	InForceSinceMicros int64                    `json:"in_force_since_us"`
	Load               admission.Load           `json:"load"`
	Wire               distribution.WireTraffic `json:"control_wire_bytes"`
	Connections        int                      `json:"request_connections"`
	Goroutines         int                      `json:"goroutines"`
	// Findings are those of the last rejected table; empty if none was rejected.
	Findings string `json:"findings,omitempty"`
}

func (n *Node) adminHandler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(admin.PathHealth, func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET(admin.PathReady, n.getReady)
	e.GET(admin.PathMetrics, echo.WrapHandler(n.metrics.Handler()))
	e.GET(admin.PathStatus, n.getSelf)
	e.GET(admin.PathFleet, n.getFleet)
	e.GET(admin.PathTable, n.getTable)
	e.GET(admin.PathExplain+":service", n.getExplain)
	e.GET(admin.PathProfile+"profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	e.GET(admin.PathProfile+"*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	return e
}

func (n *Node) getReady(c echo.Context) error {
	if !n.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready: "+n.notReadyReason()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (n *Node) notReadyReason() string {
	switch {
	case n.leaving.Load():
		return "leaving"
	case n.holder.Current() == nil:
		return "no table"
	}
	return "no neighbouring node has reported its state"
}

func (n *Node) getSelf(c echo.Context) error {
	status := SelfStatus{
		Node:               n.service.Status(),
		Ready:              n.Ready(),
		InForceSinceMicros: n.inForceSince.Load(),
		Load:               n.backend.Load(),
		Wire:               n.service.WireBytes(c.Request().Context()),
		Connections:        n.pool.Len(),
		Goroutines:         runtime.NumGoroutine(),
	}
	if r, ok := n.service.Refusal(); ok {
		status.Findings = r.Err.Error()
	}
	return c.JSON(http.StatusOK, status)
}

func (n *Node) getFleet(c echo.Context) error {
	nodes, err := n.service.QueryStatus(c.Request().Context())
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(http.StatusOK, nodes)
}

func (n *Node) getTable(c echo.Context) error {
	snap := n.holder.Current()
	if snap == nil {
		return echo.NewHTTPError(http.StatusNotFound, "no table")
	}
	return c.Blob(http.StatusOK, "text/csv; charset=utf-8", snap.Raw)
}

func (n *Node) getExplain(c echo.Context) error {
	explanations, ok := n.frontend.Explain(c.Param("service"))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "no such service")
	}
	return c.JSON(http.StatusOK, admin.Explain(explanations))
}
