// Package store is the stand-in of the platform's object store: package memstore behind
// the HTTP protocol of docs/design/parts.md, with the platform's rates as limits.
//
// Faults are set by POST /admin/faults and counts are read by GET /admin/stats; the admin
// paths are not subject to rates or faults.
package store

import (
	"context"
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
	"github.com/auburnrelay/auburnrelay/objects/httpstore"
	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

const (
	// DefaultReadsPerSecond is the platform's rate of reads; a poll counts as one.
	DefaultReadsPerSecond = 2000
	// DefaultWritesPerSecond is the platform's rate of writes.
	DefaultWritesPerSecond = 400

	// burstSeconds is the work that may come at once, in seconds of the rate.
	burstSeconds = 0.25
	objectsPath  = "/v1/objects/"
	maxPollWait  = 60 * time.Second
	retryAfter   = "1"
)

// Options are the settings of a Server; zero values take the defaults.
type Options struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	Memory          memstore.Options
}

// Server is the stand-in's http.Handler. It is safe for concurrent use.
type Server struct {
	echo   *echo.Echo
	memory *memstore.Store
	reads  *rate.Limiter
	writes *rate.Limiter
	counts counts
}

// New returns a server with an empty store.
func New(o Options) *Server {
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	s := &Server{
		echo:   echo.New(),
		memory: memstore.New(o.Memory),
		reads:  newLimiter(o.ReadsPerSecond),
		writes: newLimiter(o.WritesPerSecond),
	}
	s.echo.HTTPErrorHandler = handleError
	s.echo.GET("/v1/objects", s.list, s.limit(s.reads))
	s.echo.GET("/v1/objects/*", s.get, s.limit(s.reads))
	s.echo.GET("/v1/watch", s.watch, s.limit(s.reads))
	s.echo.PUT("/v1/objects/*", s.put, s.limit(s.writes))
	s.echo.DELETE("/v1/objects/*", s.remove, s.limit(s.writes))
	s.echo.GET("/admin/stats", s.stats)
	s.echo.GET("/admin/faults", s.showFaults)
	s.echo.POST("/admin/faults", s.setFaults)
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.echo.ServeHTTP(w, r)
}

// Memory returns the store behind the server, for tests in the same process.
func (s *Server) Memory() *memstore.Store { return s.memory }

func (s *Server) get(c echo.Context) error {
	s.counts.gets.Add(1)
	key, err := objectKey(c)
	if err != nil {
		return err
	}
	object, err := s.memory.Get(c.Request().Context(), key)
	if err != nil {
		return err
	}
	c.Response().Header().Set(httpstore.HeaderVersion, formatVersion(object.Version))
	c.Response().Header().Set(httpstore.HeaderWriteID, object.WriteID)
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, object.Value)
}

func (s *Server) list(c echo.Context) error {
	s.counts.lists.Add(1)
	listing, err := s.memory.List(c.Request().Context(), c.QueryParam("prefix"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, httpstore.NewListingMessage(listing))
}

func (s *Server) watch(c echo.Context) error {
	s.counts.polls.Add(1)
	after, err := parseNumber(c.QueryParam("after"))
	if err != nil {
		return err
	}
	waitMillis, err := parseNumber(c.QueryParam("wait_ms"))
	if err != nil {
		return err
	}
	wait := min(time.Duration(waitMillis)*time.Millisecond, maxPollWait)
	batch, err := s.memory.PollFor(c.Request().Context(), c.QueryParam("prefix"), objects.Version(after), wait)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, httpstore.NewBatchMessage(batch))
}

func (s *Server) put(c echo.Context) error {
	s.counts.puts.Add(1)
	key, err := objectKey(c)
	if err != nil {
		return err
	}
	expected, err := parseNumber(c.Request().Header.Get(httpstore.HeaderExpected))
	if err != nil {
		return err
	}
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, objects.MaxValueBytes+1))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "body is cut short")
	}
	writeID := c.Request().Header.Get(httpstore.HeaderWriteID)
	version, err := s.memory.Put(c.Request().Context(), key, value, objects.Version(expected), writeID)
	if err != nil {
		return err
	}
	c.Response().Header().Set(httpstore.HeaderVersion, formatVersion(version))
	return c.NoContent(http.StatusOK)
}

func (s *Server) remove(c echo.Context) error {
	s.counts.deletes.Add(1)
	key, err := objectKey(c)
	if err != nil {
		return err
	}
	expected, err := parseNumber(c.Request().Header.Get(httpstore.HeaderExpected))
	if err != nil {
		return err
	}
	if err := s.memory.Delete(c.Request().Context(), key, objects.Version(expected)); err != nil {
		return err
	}
	return c.NoContent(http.StatusOK)
}

func (s *Server) limit(limiter *rate.Limiter) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if !limiter.Allow() {
				s.counts.throttled.Add(1)
				c.Response().Header().Set(echo.HeaderRetryAfter, retryAfter)
				return echo.NewHTTPError(http.StatusTooManyRequests, "above the store's rate")
			}
			return next(c)
		}
	}
}

// handleError turns an error into a status, or into no answer where the answer is lost.
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

// objectKey returns the key in the path; it reads the escaped form, so that a key may hold
// any character.
func objectKey(c echo.Context) (string, error) {
	escaped := strings.TrimPrefix(c.Request().URL.EscapedPath(), objectsPath)
	key, err := url.PathUnescape(escaped)
	if err != nil || key == "" {
		return "", echo.NewHTTPError(http.StatusBadRequest, "malformed key")
	}
	return key, nil
}

func parseNumber(text string) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, echo.NewHTTPError(http.StatusBadRequest, "malformed number "+strconv.Quote(text))
	}
	return n, nil
}

func formatVersion(v objects.Version) string {
	return strconv.FormatInt(int64(v), 10)
}
