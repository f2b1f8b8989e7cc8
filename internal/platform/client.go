// Package platform reads and watches the platform's configuration service.
//
// The protocol is the key-value HTTP interface of well-known configuration
// stores: GET /v1/kv/KEY?raw returns a value, its index comes in the header
// X-Consul-Index, and a GET with index and wait blocks until the index changes
// or the wait ends. Nothing is ever written.
package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/table"
)

// Keys of the published values.
const (
	KeyTable     = "walldrift/table"
	KeyInstances = "walldrift/instances"
)

// HeaderIndex carries the index of a value.
const HeaderIndex = "X-Consul-Index"

// PathPrefix precedes the key in the URL.
const PathPrefix = "/v1/kv/"

// ErrNotFound reports a key without a value.
var ErrNotFound = errors.New("no value under this key")

// Value is a published value with its index.
type Value struct {
	Raw   []byte
	Index uint64
}

// Source reads the platform. A Read counts as one call, and so does a Watch
// however long it waits.
type Source interface {
	Read(ctx context.Context, key string) (Value, error)
	// Watch waits until the value's index differs from index or the wait ends;
	// then it returns the value as it is.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Value, error)
}

// Client is the Source over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at base, such as
// http://127.0.0.1:8500.
func NewClient(base string) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 90 * time.Second}
	return &Client{base: base, http: &http.Client{Transport: t}}
}

// readTimeout bounds a call beyond the wait it asked for.
const readTimeout = 5 * time.Second

// Read returns the value of key.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	return c.get(ctx, c.base+PathPrefix+key+"?raw", readTimeout)
}

// Watch is described at Source.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Value, error) {
	url := fmt.Sprintf("%s%s%s?raw&index=%d&wait=%dms", c.base, PathPrefix, key, index, wait.Milliseconds())
	return c.get(ctx, url, wait+readTimeout)
}

func (c *Client) get(ctx context.Context, url string, limit time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Value{}, errors.Wrap(err, "platform address")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, errors.Wrap(err, "platform")
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, table.MaxBytes+1))
	if err != nil {
		return Value{}, errors.Wrap(err, "platform")
	}
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return Value{}, ErrNotFound
	case resp.StatusCode != http.StatusOK:
		return Value{}, errors.Newf("platform answers %s", resp.Status)
	case resp.ContentLength >= 0 && int64(len(raw)) < min(resp.ContentLength, table.MaxBytes+1):
		return Value{}, errors.New("platform answer is cut")
	}
	index, err := strconv.ParseUint(resp.Header.Get(HeaderIndex), 10, 64)
	return Value{Raw: raw, Index: index}, errors.Wrap(err, "platform index")
}
