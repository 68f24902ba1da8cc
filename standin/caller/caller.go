package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/relay"
	"github.com/croftvale/croftvale/standin/app"
	"github.com/croftvale/croftvale/standin/engine"
)

// Team is who asks.
type Team struct {
	Name string
	Key  string
}

// Caller sends requests of one team.
type Caller struct {
	team Team
	http *http.Client
	next atomic.Uint64
}

const maxIdle = 2048

// New returns a caller with connections of its own.
func New(t Team) *Caller {
	return &Caller{team: t, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdle,
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		DisableCompression:  true,
	}}}
}

// Work says what is asked of a model engine.
type Work struct {
	Model  string
	Prompt string
	Tokens int
	Stream bool
	Header map[string]string
}

// Nonce returns a mark that no other request has.
func (c *Caller) Nonce() string {
	return fmt.Sprintf("%s-%d-%d", c.team.Name, time.Now().UnixNano(), c.next.Add(1))
}

// Complete asks a model engine for a completion.
func (c *Caller) Complete(ctx context.Context, url string, w Work) Answer {
	nonce := c.Nonce()
	body, err := json.Marshal(engine.Request{
		Model: w.Model, Prompt: w.Prompt, MaxTokens: w.Tokens, Stream: w.Stream, Nonce: nonce,
	})
	if err != nil {
		panic(err)
	}
	req := c.request(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body), w.Header)
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, nonce, func(b []byte) bool { return engineWhole(b, nonce, w) })
}

// Call asks an app service. The body may be nil.
func (c *Caller) Call(ctx context.Context, method, url string, body io.Reader, header map[string]string) Answer {
	nonce := c.Nonce()
	req := c.request(ctx, method, url, body, header)
	req.Header.Set(app.HeaderNonce, nonce)
	return c.do(req, nonce, func(b []byte) bool { return strings.HasPrefix(string(b), nonce+" ") })
}

func (c *Caller) request(ctx context.Context, method, url string, body io.Reader, header map[string]string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		panic(err) // the lab's own addresses are well formed
	}
	req.Header.Set("Authorization", "Bearer "+c.team.Key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return req
}

func (c *Caller) do(req *http.Request, nonce string, whole func([]byte) bool) Answer {
	a := Answer{Nonce: nonce, Kind: Broken}
	began := time.Now()
	defer func() { a.Took = time.Since(began) }()
	res, err := c.http.Do(req)
	a.Wait = time.Since(began)
	if err != nil {
		if req.Context().Err() != nil {
			a.Kind = GivenUp
		}
		return a
	}
	defer func() { _ = res.Body.Close() }()
	a.Status = res.StatusCode
	a.Ran = res.Header.Get(relay.HeaderRan)
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	a.RetryAfter = time.Duration(seconds) * time.Second
	body, err := io.ReadAll(res.Body)
	a.Took = time.Since(began)
	switch {
	case err != nil && req.Context().Err() != nil:
		a.Kind = GivenUp
	case err != nil:
		a.Kind = Broken
	case res.StatusCode != http.StatusOK:
		a.Kind = Refused
		a.Reason = reason(body)
	default:
		a.Kind = Served
		a.Mixed = !whole(body)
	}
	return a
}

func reason(body []byte) string {
	var r struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &r) // an answer of another form has no reason
	return r.Error.Type
}

// engineWhole tells whether an answer is complete and all the caller's own.
func engineWhole(body []byte, nonce string, w Work) bool {
	mark := strconv.Quote(nonce)
	if w.Stream {
		return strings.Count(string(body), mark) == w.Tokens && strings.Count(string(body), `"user":`) == w.Tokens
	}
	return strings.Count(string(body), "tok ") == w.Tokens && strings.Contains(string(body), mark)
}
