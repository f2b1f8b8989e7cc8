// Package peerhttp sends requests from node to node: HTTP requests with CBOR bodies. A header
// that names the kind of the request distinguishes them from the requests of callers.
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

// Call sends a request to the node at addr and decodes the response of at most maxBytes into
// response. The header names the kind of the request. A status other than 200 is an error.
func Call(ctx context.Context, transport http.RoundTripper, addr netip.AddrPort, header string, request, response any, maxBytes int64) error {
	raw, err := cbor.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "peer request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/", bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "peer request")
	}
	req.Header.Set(header, "1")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return errors.Wrap(Decode(resp.Body, response, maxBytes), "peer response")
}

// Decode decodes a request or a response of at most maxBytes into v. A longer one is cut off,
// which fails the decoding.
func Decode(r io.Reader, v any, maxBytes int64) error {
	raw, err := io.ReadAll(io.LimitReader(r, maxBytes))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(raw, v)
}

// Respond sends a response. It returns an error if the response could not be encoded; the
// requesting node then gets status 500. Failed writes are ignored, since a node that has
// disconnected sends its request again.
func Respond(w http.ResponseWriter, response any) error {
	raw, err := cbor.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return errors.Wrap(err, "peer response")
	}
	_, _ = w.Write(raw)
	return nil
}
