// Package peerhttp carries questions between nodes and their answers: CBOR in the bodies
// of HTTP requests, which a header tells from the requests of callers.
package peerhttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Ask sends a question to the node at an address and reads its answer, of at most so many
// bytes. The header says what is asked.
func Ask(ctx context.Context, via http.RoundTripper, node netip.AddrPort, header string, question, answer any, most int64) error {
	raw, err := cbor.Marshal(question)
	if err != nil {
		return errors.Wrap(err, "question")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.String()+"/", bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "question")
	}
	req.Header.Set(header, "1")
	resp, err := via.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return errors.Wrap(Read(resp.Body, answer, most), "answer")
}

// Read reads a question or an answer of at most so many bytes.
func Read(r io.Reader, into any, most int64) error {
	raw, err := io.ReadAll(io.LimitReader(r, most))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(raw, into)
}

// Answer sends an answer. An error says that it could not be encoded, which the asking
// node is told; one that has left asks again.
func Answer(w http.ResponseWriter, answer any) error {
	raw, err := cbor.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return errors.Wrap(err, "answer")
	}
	_, _ = w.Write(raw)
	return nil
}
