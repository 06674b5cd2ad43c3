// Package store implements the stand-in for the platform's object store: package memstore
// served over the platform's published protocol, with the platform's rate limits. Finalizers
// and status are not implemented, since the system does not use them.
//
// POST /admin/faults sets the injected faults and GET /admin/stats returns the call counts.
// The admin paths are exempt from rate limits and faults.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
	"github.com/auburnrelay/auburnrelay/platform/body"
	"github.com/auburnrelay/auburnrelay/platform/objectstore"
)

const (
	// DefaultReadsPerSecond is the platform's rate limit for reads; a poll counts as one read.
	DefaultReadsPerSecond = 2000
	// DefaultWritesPerSecond is the platform's rate limit for writes.
	DefaultWritesPerSecond = 400

	// burstSeconds is the burst size of the rate limiters, as seconds of calls at the full
	// rate.
	burstSeconds      = 0.25
	maxPollWait       = 30 * time.Second
	retryAfterSeconds = "1"
	// maxPageItems and maxPageBytes limit one page of a listing.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// maxSpecBytes is the largest spec of an object.
	maxSpecBytes = 1 << 20
	// maxBodyBytes leaves room for the largest value in base64 and the JSON around it.
	maxBodyBytes = 2 << 20
)

// Options are the settings of a Server; zero values take the defaults.
type Options struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	Memory          memstore.Options
	// Encoding is the encoding of request and response bodies; JSON by default.
	Encoding body.Encoding
}

// Server is an http.Handler that serves the store. It is safe for concurrent use.
type Server struct {
	echo   *echo.Echo
	memory *memstore.Store
	reads  *rate.Limiter
	writes *rate.Limiter
	counts counts
	// encoding is the encoding of bodies on the wire; the handlers use JSON.
	encoding body.Encoding
}

// New returns a server with an empty store.
func New(o Options) *Server {
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	o.Memory.MaxValueBytes = maxSpecBytes
	s := &Server{
		echo:     echo.New(),
		memory:   memstore.New(o.Memory),
		encoding: o.Encoding,
		reads:    newLimiter(o.ReadsPerSecond),
		writes:   newLimiter(o.WritesPerSecond),
	}
	s.echo.HTTPErrorHandler = handleError
	s.echo.GET("/objects/:kind", s.get, s.limitRate(s.reads))
	s.echo.GET("/objects/:kind/:name", s.get, s.limitRate(s.reads))
	s.echo.POST("/objects/:kind", s.post, s.limitRate(s.writes))
	s.echo.PUT("/objects/:kind/:name", s.put, s.limitRate(s.writes))
	s.echo.DELETE("/objects/:kind/:name", s.remove, s.limitRate(s.writes))
	s.echo.GET("/admin/stats", s.stats)
	s.echo.GET("/admin/faults", s.showFaults)
	s.echo.POST("/admin/faults", s.setFaults)
	return s
}

// newLimiter returns a limiter of perSecond calls that allows bursts of burstSeconds.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// eraWriter is a http.ResponseWriter that sets the store's era as it is when the response begins.
type eraWriter struct {
	http.ResponseWriter
	memory *memstore.Store
}

// WriteHeader implements http.ResponseWriter.
func (w eraWriter) WriteHeader(status int) {
	w.Header().Set(objectstore.HeaderEra, strconv.FormatInt(objectstore.FirstEra+w.memory.Era(), 10))
	w.ResponseWriter.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = eraWriter{w, s.memory}
	if s.encoding == body.CBOR && strings.HasPrefix(r.URL.Path, "/objects/") {
		s.serveEncoded(w, r)
		return
	}
	s.echo.ServeHTTP(w, r)
}

// serveEncoded converts the request body to JSON, calls the handlers, and converts the body
// of a successful response to the server's encoding.
func (s *Server) serveEncoded(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err == nil {
		data, err = s.encoding.ToJSON(data)
	}
	if err != nil {
		http.Error(w, "body cannot be read", http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	response := &bufferedResponse{header: w.Header(), status: http.StatusOK}
	s.echo.ServeHTTP(response, r)
	data = response.body.Bytes()
	if response.status/100 == 2 {
		if data, err = s.encoding.FromJSON(data); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", s.encoding.ContentType())
	}
	w.WriteHeader(response.status)
	_, _ = w.Write(data)
}

// bufferedResponse is a http.ResponseWriter that buffers the response until it is converted.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (h *bufferedResponse) Header() http.Header         { return h.header }
func (h *bufferedResponse) WriteHeader(status int)      { h.status = status }
func (h *bufferedResponse) Write(p []byte) (int, error) { return h.body.Write(p) }

// Memory returns the in-memory store behind the server, for tests in the same process.
func (s *Server) Memory() *memstore.Store { return s.memory }

// get serves one object or, without a name in the path, the listing or a watch of a kind.
func (s *Server) get(c echo.Context) error {
	kind, name, err := parsePath(c)
	if err != nil {
		return err
	}
	if name == "" && c.QueryParam("watch") != "" {
		return s.watch(c, kind)
	}
	if name == "" {
		return s.list(c, kind)
	}
	s.counts.gets.Add(1)
	object, err := s.memory.Get(c.Request().Context(), kind+"/"+name)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, toWire(object))
}

func (s *Server) list(c echo.Context, kind string) error {
	s.counts.lists.Add(1)
	listing, err := s.memory.List(c.Request().Context(), kind+"/")
	if err != nil {
		return err
	}
	page := objectstore.Page{Items: []body.Raw{}, CurrentRev: listing.Version.Revision()}
	size := 0
	for _, object := range listing.Objects {
		m := toWire(object)
		if m.Meta.Name <= c.QueryParam("after") {
			continue
		}
		if len(page.Items) == maxPageItems || size > maxPageBytes {
			page.More = true
			break
		}
		item, err := json.Marshal(m)
		if err != nil {
			return errors.Wrap(err, "encode an object")
		}
		size += len(item)
		page.Items = append(page.Items, item)
	}
	return c.JSON(http.StatusOK, page)
}

func (s *Server) watch(c echo.Context, kind string) error {
	s.counts.polls.Add(1)
	after, err := parseNumber(c.QueryParam("watch"))
	if err != nil {
		return err
	}
	waitMillis, err := parseNumber(c.QueryParam("wait-ms"))
	if err != nil {
		return err
	}
	wait := min(time.Duration(waitMillis)*time.Millisecond, maxPollWait)
	batch, err := s.memory.PollFor(c.Request().Context(), kind+"/", s.version(after), wait)
	if err != nil {
		return err
	}
	if batch.Reset {
		return echo.NewHTTPError(http.StatusGone, "this history is gone")
	}
	changes := objectstore.Changes{Events: []objectstore.Change{}, CurrentRev: batch.Next.Revision()}
	for _, event := range batch.Events {
		object, err := json.Marshal(toWire(event.Object))
		if err != nil {
			return errors.Wrap(err, "encode an object")
		}
		changes.Events = append(changes.Events, objectstore.Change{Object: object, Deleted: event.Deleted})
	}
	return c.JSON(http.StatusOK, changes)
}

// post creates an object.
func (s *Server) post(c echo.Context) error {
	s.counts.puts.Add(1)
	kind, _, err := parsePath(c)
	if err != nil {
		return err
	}
	o, err := s.readObject(c)
	if err != nil {
		return err
	}
	if o.Meta.Name == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "an object needs a name")
	}
	return s.write(c, kind+"/"+o.Meta.Name, o.Spec, 0)
}

// put replaces an object; a request without an expected revision replaces the current one.
// If the expected revision is the current one and the spec is unchanged, it answers with the
// current revision and writes nothing.
func (s *Server) put(c echo.Context) error {
	s.counts.puts.Add(1)
	kind, name, err := parsePath(c)
	if err != nil {
		return err
	}
	o, err := s.readObject(c)
	if err != nil {
		return err
	}
	key := kind + "/" + name
	current, err := s.memory.Get(c.Request().Context(), key)
	if err != nil {
		return err
	}
	expected := current.Version
	if o.Meta.Rev != 0 {
		expected = s.version(o.Meta.Rev)
	}
	if expected == current.Version && bytes.Equal(o.Spec, current.Value) {
		return c.JSON(http.StatusOK, toWire(current))
	}
	return s.write(c, key, o.Spec, expected)
}

func (s *Server) write(c echo.Context, key string, spec []byte, expected objects.Version) error {
	version, err := s.memory.Put(c.Request().Context(), key, spec, expected, "")
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, toWire(objects.Object{Key: key, Value: spec, Version: version}))
}

// version returns the version of a revision that a caller has named: callers name no eras, so a revision
// of a former era means the one that was given out again.
func (s *Server) version(revision int64) objects.Version {
	return objects.NewVersion(s.memory.Era(), revision)
}

// readObject reads and validates the object in the request body.
func (s *Server) readObject(c echo.Context) (objectstore.Object, error) {
	var o objectstore.Object
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes))
	if err != nil {
		return o, echo.NewHTTPError(http.StatusBadRequest, "body is cut short")
	}
	if err := json.Unmarshal(data, &o); err != nil || len(o.Spec) == 0 || o.Meta.Rev < 0 {
		return o, echo.NewHTTPError(http.StatusBadRequest, "body is no object")
	}
	return o, nil
}

func (s *Server) remove(c echo.Context) error {
	s.counts.deletes.Add(1)
	kind, name, err := parsePath(c)
	if err != nil {
		return err
	}
	expected, err := parseNumber(c.QueryParam("rev"))
	if err != nil {
		return err
	}
	if err := s.memory.Delete(c.Request().Context(), kind+"/"+name, s.version(expected)); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, struct{}{})
}

// toWire returns the object in the form of the protocol.
func toWire(o objects.Object) objectstore.Object {
	_, name, _ := strings.Cut(o.Key, "/")
	spec := body.Raw(o.Value)
	if len(spec) == 0 {
		spec = body.Raw("null")
	}
	return objectstore.Object{Meta: objectstore.Meta{Name: name, Rev: o.Version.Revision()}, Spec: spec}
}

// limitRate returns middleware that answers calls above the limiter's rate with status 429.
func (s *Server) limitRate(limiter *rate.Limiter) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if !limiter.Allow() {
				s.counts.throttled.Add(1)
				c.Response().Header().Set(echo.HeaderRetryAfter, retryAfterSeconds)
				return echo.NewHTTPError(http.StatusTooManyRequests, "above the store's rate")
			}
			return next(c)
		}
	}
}

// handleError answers with the status that corresponds to the error. For an unknown outcome
// or a cancelled call it closes the connection without an answer.
func handleError(err error, c echo.Context) {
	var httpError *echo.HTTPError
	status := http.StatusInternalServerError
	switch {
	case errors.As(err, &httpError):
		status = httpError.Code
	case errors.Is(err, objects.ErrUnknownOutcome), errors.Is(err, context.Canceled):
		panic(http.ErrAbortHandler)
	case errors.Is(err, objects.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, objects.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, objects.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, objects.ErrUnavailable):
		status = http.StatusServiceUnavailable
	}
	if c.Response().Committed {
		return
	}
	_ = c.JSON(status, errorMessage{Error: err.Error()})
}

type errorMessage struct {
	Error string `json:"error"`
}

// parsePath returns the kind in the path and the name, which is empty if the path has none.
func parsePath(c echo.Context) (kind, name string, err error) {
	kind, err = url.PathUnescape(c.Param("kind"))
	if err == nil {
		name, err = url.PathUnescape(c.Param("name"))
	}
	if err != nil || kind == "" {
		return "", "", echo.NewHTTPError(http.StatusBadRequest, "malformed path")
	}
	return kind, name, nil
}

func parseNumber(text string) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, echo.NewHTTPError(http.StatusBadRequest, "malformed number "+strconv.Quote(text))
	}
	return n, nil
}
