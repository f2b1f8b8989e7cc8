// Package platform reads and watches values of the platform's configuration service.
//
// The protocol is Consul's HTTP interface for key-value pairs: GET /v1/kv/KEY?raw
// returns a value, the header X-Consul-Index holds its index, and a GET with index and
// wait is a long poll that returns once the index has changed or the wait is over. This
// package never writes.
package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/walldrift/walldrift/internal/http1"
	"github.com/walldrift/walldrift/internal/table"
)

// Keys under which operators publish the table and the instance list.
const (
	KeyTable     = "walldrift/table"
	KeyInstances = "walldrift/instances"
)

// HeaderIndex is the response header with the index of a value.
const HeaderIndex = "X-Consul-Index"

// PathPrefix is the URL path before the key.
const PathPrefix = "/v1/kv/"

// ErrNotFound reports that a key has no value.
var ErrNotFound = errors.New("no value under this key")

// Value is a published value and its index, which changes with the value.
type Value struct {
	Raw   []byte
	Index uint64
}

// Source reads values of the platform. A Read is one call to the platform, and so is a
// Watch, however long it waits.
type Source interface {
	Read(ctx context.Context, key string) (Value, error)
	// Watch waits until the value's index differs from index or the wait is over, and
	// returns the current value in both cases.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Value, error)
}

// Client is a Source that calls the platform over HTTP.
type Client struct {
	base   string
	caller string
	http   *http.Client
}

// NewClient returns a client for the service at the base URL, such as
// http://127.0.0.1:8500. caller identifies the calling process in the service's logs; it is
// sent as User-Agent.
func NewClient(base, caller string) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 90 * time.Second, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{base: base, caller: caller, http: &http.Client{Transport: http1.NewCheckedTransport(t, &net.Dialer{})}}
}

// maxHeadBytes is the longest head of a response that is read, in bytes.
const maxHeadBytes = 64 << 10

// responseAllowance is the time a call may take on top of the wait it requests.
const responseAllowance = 5 * time.Second

// Read returns the value of key, or ErrNotFound.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	return c.get(ctx, c.base+PathPrefix+key+"?raw", responseAllowance)
}

// Watch implements Source.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Value, error) {
	url := fmt.Sprintf("%s%s%s?raw&index=%d&wait=%dms", c.base, PathPrefix, key, index, wait.Milliseconds())
	return c.get(ctx, url, wait+responseAllowance)
}

func (c *Client) get(ctx context.Context, url string, timeout time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Value{}, errors.Wrap(err, "platform address")
	}
	req.Header.Set("User-Agent", c.caller)
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
		return Value{}, errors.Newf("platform responded with status %s", resp.Status)
	case resp.ContentLength >= 0 && int64(len(raw)) < min(resp.ContentLength, table.MaxBytes+1):
		return Value{}, errors.New("platform response is truncated")
	}
	index, err := strconv.ParseUint(resp.Header.Get(HeaderIndex), 10, 64)
	return Value{Raw: raw, Index: index}, errors.Wrap(err, "platform index")
}
