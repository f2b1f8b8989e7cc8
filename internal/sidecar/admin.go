package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/admin"
	"github.com/walldrift/walldrift/internal/clock"
	"github.com/walldrift/walldrift/internal/discovery"
	"github.com/walldrift/walldrift/internal/distribution"
	"github.com/walldrift/walldrift/internal/membership"
	"github.com/walldrift/walldrift/internal/peerhttp"
	"github.com/walldrift/walldrift/internal/quarantine"
	"github.com/walldrift/walldrift/internal/table"
)

// headerStatus marks a request between sidecars as a status request.
const headerStatus = "Walldrift-Status"

// statusQueryTimeout bounds the status request to one sidecar, which needs about a
// hundredth of that.
const statusQueryTimeout = time.Second

// maxStatusBytes bounds an encoded status, which usually has about a hundredth of that
// size.
const maxStatusBytes = 64 << 10

// adminHandler serves operators on the metrics address.
func (s *Sidecar) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(admin.PathHealth, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc(admin.PathReady, s.getReady)
	mux.Handle(admin.PathMetrics, s.metrics.Handler())
	mux.HandleFunc(admin.PathStatus, func(w http.ResponseWriter, _ *http.Request) { s.writeJSON(w, s.status(clock.Now())) })
	mux.HandleFunc(admin.PathFleet, func(w http.ResponseWriter, r *http.Request) { s.writeJSON(w, s.fleetStatus(r.Context())) })
	mux.HandleFunc(admin.PathTable, s.getTable)
	mux.HandleFunc("GET "+admin.PathQuarantine, func(w http.ResponseWriter, _ *http.Request) {
		s.writeJSON(w, admin.QuarantinedRequests(s.quarantined.requests(clock.Now())))
	})
	mux.HandleFunc(admin.PathQuotas, func(w http.ResponseWriter, _ *http.Request) { s.writeJSON(w, s.quotas.report(clock.Now())) })
	mux.HandleFunc("POST "+admin.PathRelease+"{fingerprint}", s.release)
	mux.HandleFunc(admin.PathExplain+"{service}", s.getExplain)
	mux.HandleFunc(admin.PathProfile+"profile", pprof.Profile)
	mux.HandleFunc(admin.PathProfile, pprof.Index)
	return mux
}

func (s *Sidecar) getReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Sidecar) writeJSON(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		s.log.Error("admin answer not written", "err", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // an operator whose connection broke repeats the request
}

// getTable responds with the table in force in the operators' CSV format, whatever format
// it was published in, with the discovered upstreams as rows.
func (s *Sidecar) getTable(w http.ResponseWriter, _ *http.Request) {
	snap := s.holder.Current()
	if snap == nil {
		http.Error(w, "no table", http.StatusNotFound)
		return
	}
	raw, err := table.Format(snap.WithUpstreams())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/csv; charset=utf-8")
	_, _ = w.Write(raw)
}

func (s *Sidecar) getExplain(w http.ResponseWriter, r *http.Request) {
	all, ok := s.frontend.Explain(r.PathValue("service"))
	if !ok {
		http.Error(w, "no such service", http.StatusNotFound)
		return
	}
	s.writeJSON(w, admin.Explain(all))
}

// release lifts the quarantine of a request.
func (s *Sidecar) release(w http.ResponseWriter, r *http.Request) {
	fp, err := quarantine.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.quarantined.release(r.Context(), fp) {
		http.Error(w, "no such request is held back", http.StatusNotFound)
	}
}

// status returns the status of this sidecar: the table version in force, where it came
// from, and what restricts the own upstream.
func (s *Sidecar) status(now time.Time) distribution.NodeStatus {
	followerStatus := s.follower.Status(now)
	st := distribution.NodeStatus{
		Name:        s.cfg.Name,
		DataCentre:  s.cfg.DataCentre,
		Table:       s.holder.ID(),
		HeldFor:     uint64(followerStatus.TableAge.Milliseconds()),
		From:        followerStatus.TableFrom,
		Reader:      followerStatus.Reader,
		SourceAge:   uint64(followerStatus.Staleness.Milliseconds()),
		Links:       len(followerStatus.Sources),
		Refused:     formatInvalidEntries(followerStatus.Unusable),
		Upstream:    s.backend.Restriction(),
		Quarantined: len(s.quarantined.requests(now)),
	}
	for _, e := range followerStatus.Evacuated {
		st.Evacuated = append(st.Evacuated, distribution.EvacuatedCentre{DataCentre: e.DataCentre, Since: uint64(now.Sub(e.FirstSeen).Milliseconds())})
	}
	if st.Table.IsZero() {
		st.Waiting = "a first table"
	}
	return st
}

// maxListedEntries is the number of invalid entries that a status describes.
const maxListedEntries = 3

// formatInvalidEntries describes the published entries from which no upstream can be read,
// with the reasons.
func formatInvalidEntries(entries []discovery.Removal) string {
	if len(entries) == 0 {
		return ""
	}
	listed := make([]string, 0, maxListedEntries)
	for _, e := range entries[:min(len(entries), maxListedEntries)] {
		listed = append(listed, e.ID+" ("+e.InvalidReason+")")
	}
	return fmt.Sprintf("%d entries: %s", len(entries), strings.Join(listed, ", "))
}

// serveStatus responds to the status request of another sidecar.
func (s *Sidecar) serveStatus(w http.ResponseWriter) {
	if err := peerhttp.Respond(w, s.status(clock.Now())); err != nil {
		s.log.Error("status not told", "err", err)
	}
}

// fleetStatus returns the status of every known sidecar, sorted by name.
func (s *Sidecar) fleetStatus(ctx context.Context) []distribution.NodeStatus {
	members := s.follower.Members()
	out := make([]distribution.NodeStatus, len(members))
	forEachConcurrently(members, func(i int, m membership.Member) { out[i] = s.peerStatus(ctx, m) })
	slices.SortFunc(out, func(a, b distribution.NodeStatus) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// peerStatus returns the status of another sidecar. If that does not respond, the status
// holds the error in Waiting.
func (s *Sidecar) peerStatus(ctx context.Context, m membership.Member) distribution.NodeStatus {
	st, err := s.fetchStatus(ctx, m)
	if err != nil {
		return distribution.NodeStatus{Name: "beside " + m.Name, DataCentre: m.DataCentre, Waiting: err.Error()}
	}
	return st
}

func (s *Sidecar) fetchStatus(ctx context.Context, m membership.Member) (st distribution.NodeStatus, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusQueryTimeout)
	defer cancel()
	err = peerhttp.Call(ctx, s.peerClient, m.Peer, headerStatus, nil, &st, maxStatusBytes)
	return st, errors.Wrap(err, "no answer")
}
