package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/internal/framing"
	"github.com/croftvale/croftvale/internal/httpstatus"
	"github.com/croftvale/croftvale/internal/responselimit"
	"golang.org/x/time/rate"
)

const (
	// DefaultTimeout is the timeout of a call that is not a watch, and of a watch's response once it has begun.
	DefaultTimeout = 2 * time.Second
	// WatchTimeout is the time that a watch waits for a change.
	WatchTimeout = 30 * time.Second
	// MaxObjectBytes is the maximum size of an object, in bytes.
	MaxObjectBytes = 1 << 20

	defaultCallsPerSecond = 20
	defaultBurst          = 40
)

// Client calls the object API of the platform. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
	calls   atomic.Int64
}

// Option configures a Client.
type Option func(*Client)

// WithCallsPerSecond sets the rate limit that all users of the client share. It
// prevents one process from using up the capacity of the platform.
func WithCallsPerSecond(n float64) Option {
	return func(c *Client) { c.limiter = rate.NewLimiter(rate.Limit(n), defaultBurst) }
}

// WithHTTPClient sets the HTTP client, for TLS or for tests.
func WithHTTPClient(h *http.Client) Option {
	return func(c *Client) { c.http = h }
}

// NewClient returns a client for the platform at address, an IP address and port.
func NewClient(address string, opts ...Option) *Client {
	c := &Client{
		base:    "http://" + address + "/v1/",
		http:    &http.Client{},
		limiter: rate.NewLimiter(defaultCallsPerSecond, defaultBurst),
	}
	for _, o := range opts {
		o(c)
	}
	client := *c.http
	client.CheckRedirect = returnRedirect
	c.http = &client
	return c
}

// returnRedirect makes redirects responses like any other: net/http would repeat writes as reads.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Calls returns the number of calls made so far. A watch counts as one call.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Get reads an object.
func (c *Client) Get(ctx context.Context, ref Ref) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	return c.read(ctx, ref, c.objectURL(ref))
}

// Watch waits until an object has a version newer than after and reads it. If
// there is no change within WatchTimeout, it returns ErrNotFound.
func (c *Client) Watch(ctx context.Context, ref Ref, after Version) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+DefaultTimeout)
	defer cancel()
	u := fmt.Sprintf("%s?after=%d&wait=%s", c.objectURL(ref), after, WatchTimeout)
	return c.read(ctx, ref, u)
}

// Put writes an object if it is at version ifVersion, where 0 means that it must
// not exist. It returns the new version.
func (c *Client) Put(ctx context.Context, ref Ref, body []byte, ifVersion Version) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.objectURL(ref), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if ifVersion == 0 {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", etag(ifVersion))
	}
	res, err := c.do(req)
	if err != nil {
		return 0, wrapKind(err, ErrOutcomeUnknown)
	}
	defer drainBody(res)
	if err := statusError(res); err != nil {
		return 0, err
	}
	return parseETag(res.Header.Get("ETag")), nil
}

// Hosts reads the list of hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"hosts", nil)
	if err != nil {
		return nil, err
	}
	res, err := c.do(req)
	if err != nil {
		return nil, wrapKind(err, ErrUnavailable)
	}
	defer drainBody(res)
	if err := readError(res); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxObjectBytes+1))
	if err != nil || len(body) > MaxObjectBytes {
		return nil, errors.Wrap(ErrUnavailable, "read the list of hosts")
	}
	var hosts []Host
	if err := json.Unmarshal(body, &hosts); err != nil {
		return nil, wrapKind(err, ErrUnavailable)
	}
	if hosts == nil {
		return nil, errors.Wrap(ErrUnavailable, "the response holds no list of hosts")
	}
	return hosts, nil
}

func (c *Client) objectURL(ref Ref) string {
	return c.base + "objects/" + url.PathEscape(ref.Kind) + "/" + url.PathEscape(ref.Name)
}

func (c *Client) read(ctx context.Context, ref Ref, u string) (Object, error) {
	ctx, limit := responselimit.New(ctx, DefaultTimeout)
	defer limit.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Object{}, err
	}
	res, err := c.do(req)
	if err != nil {
		return Object{}, wrapKind(err, ErrUnavailable)
	}
	defer drainBody(res)
	if err := readError(res); err != nil {
		return Object{}, err
	}
	limit.AwaitBody(res)
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxObjectBytes+1))
	if err != nil || len(body) > MaxObjectBytes || framing.IsUnframed(res) {
		return Object{}, errors.Wrapf(ErrUnavailable, "read %s/%s", ref.Kind, ref.Name)
	}
	version := parseETag(res.Header.Get("ETag"))
	if version == 0 {
		return Object{}, errors.Wrapf(ErrUnavailable, "read %s/%s: the response names no version", ref.Kind, ref.Name)
	}
	return Object{Ref: ref, Version: version, Body: body}, nil
}

func (c *Client) do(req *http.Request) (*http.Response, error) {
	if err := c.limiter.Wait(req.Context()); err != nil {
		return nil, err
	}
	c.calls.Add(1)
	req.Header.Set("Accept-Encoding", "identity") // net/http forgets the length of what it decompresses
	return c.http.Do(req)
}

// wrapKind wraps cause in kind, one of this package's errors, and its message.
func wrapKind(cause, kind error) error {
	return errors.Mark(errors.Wrap(cause, kind.Error()), kind)
}

// drainBody reads a response to its end and closes it, so that its connection can
// be reused. Errors are ignored: the next call then opens a new connection.
func drainBody(res *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, MaxObjectBytes))
	_ = res.Body.Close()
}

// statusError returns the error for the status of a response, or nil if the call
// succeeded.
func statusError(res *http.Response) error {
	if err := httpstatus.CheckFinal(res.StatusCode); err != nil {
		return wrapKind(err, ErrOutcomeUnknown)
	}
	switch {
	case res.StatusCode == http.StatusNotFound, res.StatusCode == http.StatusNotModified:
		return ErrNotFound
	case res.StatusCode == http.StatusPreconditionFailed:
		return ErrConflict
	case res.StatusCode == http.StatusGatewayTimeout:
		return errors.Wrapf(ErrOutcomeUnknown, "status %d", res.StatusCode)
	case res.StatusCode/100 != 2:
		return errors.Wrapf(ErrUnavailable, "status %d", res.StatusCode)
	}
	return nil
}

// readError returns the error for the status of a response to a read, or nil if the response holds all that was asked
// for.
func readError(res *http.Response) error {
	if err := statusError(res); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrUnavailable, "status %d", res.StatusCode)
	}
	return nil
}

func etag(v Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

// parseETag returns the version in an ETag, or 0 if it names none. Something that compresses makes it a weak one.
func parseETag(s string) Version {
	n, err := strconv.ParseUint(strings.Trim(strings.TrimPrefix(s, "W/"), `"`), 10, 64)
	if err != nil {
		return 0
	}
	return Version(n)
}
