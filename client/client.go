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
	// ErrNoEntries reports a configuration without an entry URL.
	ErrNoEntries = errors.New("no entry URL")
	// ErrBadRequest reports a request without service, key or method.
	ErrBadRequest = errors.New("request lacks a service, a key or a method")
)

const (
	defaultOwners   = 4096
	defaultDeadline = 30 * time.Second
	headerRequestID = "Auburnrelay-Request-Id"
	headerSend      = "Auburnrelay-Send"
	headerDeadline  = "Auburnrelay-Deadline-Ms"
	headerOutcome   = "Auburnrelay-Outcome"
	headerReason    = "Auburnrelay-Reason"
	headerOwner     = "Auburnrelay-Owner"
	headerTarget    = "Auburnrelay-Target"
)

// Config is what a client needs to know.
type Config struct {
	// Entries are URLs of nodes, such as "http://10.0.0.7:7001"; at least one.
	Entries []string
	// Owners is the number of keys whose owner is remembered; zero means 4096.
	Owners int
	// Deadline is how long a request may take when its context has no deadline; zero means 30 s.
	Deadline time.Duration
	// Transport sends the requests; nil means http.DefaultTransport.
	Transport http.RoundTripper
}

// Request is one request to a service.
type Request struct {
	// ID identifies the request over resends; the zero id lets Do mint one. A request with an
	// id counts as sent before.
	ID      ulid.ULID
	Method  string
	Service string
	Key     string
	// Path follows the key; empty or starting with a slash, already escaped.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// first tells that the id was minted for this send.
	first bool
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	config Config
	http   http.Client
	owners *lru.Cache[owned, string]
}

type owned struct {
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
	owners, err := lru.New[owned, string](config.Owners)
	if err != nil {
		return nil, errors.Wrap(err, "owner table")
	}
	c := &Client{config: config, owners: owners}
	c.http.Transport = config.Transport
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c, nil
}

// Do sends one request and returns how it ended. The error is not nil only for a request
// that cannot be sent as it is; every other end is an outcome. A body must be closed.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	if r.Service == "" || r.Key == "" || r.Method == "" {
		return nil, ErrBadRequest
	}
	if r.ID == (ulid.ULID{}) {
		r.ID = ulid.Make()
		r.first = true
	}
	ctx, cancel := c.withDeadline(ctx)
	id := owned{service: r.Service, key: r.Key}
	base, known := c.owners.Get(id)
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
	c.learn(id, answer, known)
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

// learn remembers the owner that the answer names, and forgets one that could not be reached.
func (c *Client) learn(id owned, answer *Answer, known bool) {
	switch {
	case answer.owner != "":
		c.owners.Add(id, "http://"+answer.owner)
	case known && answer.Outcome != Answered:
		c.owners.Remove(id)
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
		return lostAnswer(err, connected.Load()), nil
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
		request.Header.Set(headerSend, "1")
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		request.Header.Set(headerDeadline, strconv.FormatInt(left, 10))
	}
	return request, nil
}

// lostAnswer is the end of a request that got no answer: it is proved not to have run only
// when no connection was there to carry it.
func lostAnswer(err error, connected bool) *Answer {
	if !connected {
		return &Answer{Outcome: NotRun, Reason: "unreachable", Err: err}
	}
	return &Answer{Outcome: Unknown, Reason: "connection-lost", Err: err}
}
