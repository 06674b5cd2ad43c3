package client

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/oklog/ulid/v2"
)

var (
	// ErrNoEntries reports a configuration without entry URLs.
	ErrNoEntries = errors.New("no entry URL")
	// ErrBadRequest reports a request without a service, a key or a method.
	ErrBadRequest = errors.New("request lacks a service, a key or a method")
)

const (
	defaultOwners   = 4096
	defaultDeadline = 30 * time.Second
	headerRequestID = "Auburnrelay-Request-Id"
	headerFirstSend = "Auburnrelay-Send"
	headerDeadline  = "Auburnrelay-Deadline-Ms"
	headerOutcome   = "Auburnrelay-Outcome"
	headerReason    = "Auburnrelay-Reason"
	headerOwner     = "Auburnrelay-Owner"
	headerTarget    = "Auburnrelay-Target"
)

// Config configures a client.
type Config struct {
	// Entries are the URLs of entry nodes, such as "http://10.0.0.7:7001"; at least one is required.
	Entries []string
	// Owners is the number of keys whose owner is cached; zero means 4096.
	Owners int
	// Deadline is the time limit of a request whose context has no deadline; zero means 30 s.
	Deadline time.Duration
	// Transport sends the requests; nil means http.DefaultTransport.
	Transport http.RoundTripper
}

// Request is one request to a service.
type Request struct {
	// ID identifies the request across resends. If it is zero, Do generates one. A request with
	// an id is treated as a resend.
	ID      ulid.ULID
	Method  string
	Service string
	Key     string
	// Path is appended to the key; it is empty or starts with a slash, and is already escaped.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// first tells that Do generated the id, so that this is the first send.
	first bool
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	config Config
	http   http.Client
	owners *lru.Cache[serviceKey, string]
}

type serviceKey struct {
	service string
	key     string
}

// New returns a client. It fails with ErrNoEntries.
func New(config Config) (*Client, error) {
	if len(config.Entries) == 0 {
		return nil, ErrNoEntries
	}
	if config.Owners == 0 {
		config.Owners = defaultOwners
	}
	if config.Deadline == 0 {
		config.Deadline = defaultDeadline
	}
	owners, err := lru.New[serviceKey, string](config.Owners)
	if err != nil {
		return nil, errors.Wrap(err, "create the owner cache")
	}
	c := &Client{config: config, owners: owners}
	c.http.Transport = config.Transport
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c, nil
}

// Do sends one request and returns its outcome. It returns an error only for an invalid request;
// every other failure is an outcome. The caller must close a Body that is not nil.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	if r.Service == "" || r.Key == "" || r.Method == "" {
		return nil, ErrBadRequest
	}
	if r.ID == (ulid.ULID{}) {
		r.ID = ulid.Make()
		r.first = true
	}
	ctx, cancel := c.withDeadline(ctx)
	key := serviceKey{service: r.Service, key: r.Key}
	base, known := c.owners.Get(key)
	if !known {
		base = c.config.Entries[rand.IntN(len(c.config.Entries))]
	}
	answer, err := c.send(ctx, base, r)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.ID = r.ID
	answer.cancel = cancel
	c.updateOwner(key, answer, known)
	if answer.Body == nil {
		cancel()
	}
	return answer, nil
}

func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.config.Deadline)
}

// updateOwner caches the owner named by the answer. It drops a cached owner that did not answer the
// request.
func (c *Client) updateOwner(key serviceKey, answer *Answer, known bool) {
	switch {
	case answer.owner != "":
		c.owners.Add(key, "http://"+answer.owner)
	case known && answer.Outcome != Answered:
		c.owners.Remove(key)
	}
}

func (c *Client) send(ctx context.Context, base string, r Request) (*Answer, error) {
	request, err := c.build(ctx, base, r)
	if err != nil {
		return nil, err
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return transportFailure(err, connected.Load()), nil
	}
	return readAnswer(resp), nil
}

func (c *Client) build(ctx context.Context, base string, r Request) (*http.Request, error) {
	target := base + "/v1/" + url.PathEscape(r.Service) + "/" + url.PathEscape(r.Key) + r.Path
	if r.Query != "" {
		target += "?" + r.Query
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	for name, values := range r.Header {
		request.Header[name] = values
	}
	request.Header.Set(headerRequestID, r.ID.String())
	if r.first {
		request.Header.Set(headerFirstSend, "1")
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		request.Header.Set(headerDeadline, strconv.FormatInt(remaining, 10))
	}
	return request, nil
}

// transportFailure returns the result of a request without a response. It is NotRun only if no
// connection was obtained to send the request on; otherwise the request may have run.
func transportFailure(err error, connected bool) *Answer {
	if !connected {
		return &Answer{Outcome: NotRun, Reason: "unreachable", Err: err}
	}
	return &Answer{Outcome: Unknown, Reason: "connection-lost", Err: err}
}
