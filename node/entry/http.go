package entry

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/auburnrelay/auburnrelay/core/keyspace"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/node/plane"
)

// readHeaderTimeout is the maximum time for a caller to send its request header.
const readHeaderTimeout = 5 * time.Second

// Handler serves the HTTP interface for callers.
type Handler struct {
	dispatcher *Dispatcher
	limits     Limits
	log        *slog.Logger
	closing    atomic.Bool
}

// NewHandler returns a handler that sends requests through the dispatcher.
func NewHandler(dispatcher *Dispatcher, limits Limits, log *slog.Logger) *Handler {
	return &Handler{dispatcher: dispatcher, limits: limits, log: log}
}

// NewServer returns an HTTP server for callers that limits request headers to headerBytes bytes.
func (h *Handler) NewServer(headerBytes int) *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Any(PathPrefix+"*", h.handle)
	e.HTTPErrorHandler = handleUnknownPath
	return &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: headerBytes}
}

// CloseConnections adds "Connection: close" to every further response. Callers then stop reusing
// their connections, so that a later shutdown does not hit a connection on which a caller is just
// sending a request.
func (h *Handler) CloseConnections() { h.closing.Store(true) }

func handleUnknownPath(_ error, c echo.Context) {
	answer := &httpAnswer{w: c.Response()}
	answer.refuse(http.StatusNotFound, plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonBadRequest}, ErrBadPath.Error())
}

func (h *Handler) handle(c echo.Context) error {
	answer := &httpAnswer{w: c.Response(), takesChunks: c.Request().ProtoAtLeast(1, 1)}
	if h.closing.Load() {
		c.Response().Header().Set("Connection", "close")
	}
	request, err := readRequest(c.Request(), h.limits, time.Now())
	if err != nil {
		h.log.Info("request refused", "path", c.Request().URL.Path, "reason", err.Error())
		answer.refuse(badRequestStatus(err), plane.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonBadRequest}, err.Error())
		return nil
	}
	result, err := h.dispatcher.Do(c.Request().Context(), request, answer)
	if err != nil {
		answer.refuse(badRequestStatus(err), result, err.Error())
		return nil
	}
	answer.finish(result)
	return nil
}

func badRequestStatus(err error) int {
	switch {
	case errors.IsAny(err, keyspace.ErrUnknownService, keyspace.ErrNoRange):
		return http.StatusNotFound
	case errors.IsAny(err, ErrBodyTooLarge, ErrKeyTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, plane.ErrNotReady):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}
