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

// headerStatus marks a request between sidecars as one for the status.
const headerStatus = "Walldrift-Status"

// surveyTimeout is how long a sidecar may take to tell its status: some hundred times
// what it needs.
const surveyTimeout = time.Second

// maxStatus bounds an encoded status: some hundred times the usual one.
const maxStatus = 64 << 10

// adminHandler serves operators on the metrics address.
func (s *Sidecar) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(admin.PathHealth, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc(admin.PathReady, s.getReady)
	mux.Handle(admin.PathMetrics, s.metrics.Handler())
	mux.HandleFunc(admin.PathSelf, func(w http.ResponseWriter, _ *http.Request) { s.writeJSON(w, s.status(clock.Now())) })
	mux.HandleFunc(admin.PathFleet, func(w http.ResponseWriter, r *http.Request) { s.writeJSON(w, s.survey(r.Context())) })
	mux.HandleFunc(admin.PathTable, s.getTable)
	mux.HandleFunc("GET "+admin.PathQuarantine, func(w http.ResponseWriter, _ *http.Request) {
		s.writeJSON(w, admin.Quarantined(s.held.list(clock.Now())))
	})
	mux.HandleFunc(admin.PathQuotas, func(w http.ResponseWriter, _ *http.Request) { s.writeJSON(w, s.quotas.list(clock.Now())) })
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
	_, _ = w.Write(raw) // an operator who has left asks again
}

// getTable answers with the table in force as operators know it, whatever form
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

// release lets a request through again that is held back.
func (s *Sidecar) release(w http.ResponseWriter, r *http.Request) {
	f, err := quarantine.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.held.release(r.Context(), f) {
		http.Error(w, "no such request is held back", http.StatusNotFound)
	}
}

// status tells operators which version this sidecar holds, and why.
func (s *Sidecar) status(now time.Time) distribution.NodeStatus {
	f := s.follower.Status(now)
	st := distribution.NodeStatus{
		Name:       s.cfg.Name,
		DataCentre: s.cfg.DataCentre,
		Table:      s.holder.ID(),
		HeldFor:    uint64(f.TableAge.Milliseconds()),
		From:       f.TableFrom,
		Reader:     f.Reader,
		SourceAge:  uint64(f.Staleness.Milliseconds()),
		Links:      len(f.Sources),
		Refused:    unusable(f.Unusable),
		Upstream:   s.backend.Restriction(),
		HeldBack:   len(s.held.list(now)),
	}
	for _, e := range f.Evacuated {
		st.Evacuated = append(st.Evacuated, distribution.EvacuatedCentre{DataCentre: e.DataCentre, Since: uint64(now.Sub(e.FirstSeen).Milliseconds())})
	}
	if st.Table.IsZero() {
		st.Waiting = "a first table"
	}
	return st
}

// unusableTold is the number of unusable entries that a status tells in full.
const unusableTold = 3

// unusable tells operators which published entries name no upstream, and why.
func unusable(entries []discovery.Removal) string {
	if len(entries) == 0 {
		return ""
	}
	told := make([]string, 0, unusableTold)
	for _, e := range entries[:min(len(entries), unusableTold)] {
		told = append(told, e.ID+" ("+e.InvalidReason+")")
	}
	return fmt.Sprintf("%d entries: %s", len(entries), strings.Join(told, ", "))
}

// tellStatus answers another sidecar's survey.
func (s *Sidecar) tellStatus(w http.ResponseWriter) {
	if err := peerhttp.Answer(w, s.status(clock.Now())); err != nil {
		s.log.Error("status not told", "err", err)
	}
}

// survey asks every sidecar that is known for its status.
func (s *Sidecar) survey(ctx context.Context) []distribution.NodeStatus {
	members := s.follower.Members()
	out := make([]distribution.NodeStatus, len(members))
	askAll(members, func(i int, m membership.Member) { out[i] = s.askStatus(ctx, m) })
	slices.SortFunc(out, func(a, b distribution.NodeStatus) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// askStatus returns a sidecar's status, or one that says that it did not answer.
func (s *Sidecar) askStatus(ctx context.Context, m membership.Member) distribution.NodeStatus {
	st, err := s.fetchStatus(ctx, m)
	if err != nil {
		return distribution.NodeStatus{Name: "beside " + m.Name, DataCentre: m.DataCentre, Waiting: err.Error()}
	}
	return st
}

func (s *Sidecar) fetchStatus(ctx context.Context, m membership.Member) (st distribution.NodeStatus, err error) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	err = peerhttp.Ask(ctx, s.hop, m.Peer, headerStatus, nil, &st, maxStatus)
	return st, errors.Wrap(err, "no answer")
}
