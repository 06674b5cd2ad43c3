// Package ingress accepts requests from callers on this machine and routes them to a target. Each
// request gets exactly one response: the target's answer, a refusal, which guarantees that the
// request has not run, or an error that says that it may have run.
//
// Locking: no other lock is taken while Dispatcher.mu is held.
package ingress

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/core/exchange"
	"github.com/auburnrelay/auburnrelay/core/outcome"
	"github.com/auburnrelay/auburnrelay/core/routing"
	"github.com/auburnrelay/auburnrelay/node/budget"
	"github.com/auburnrelay/auburnrelay/node/pipeline"
	"github.com/auburnrelay/auburnrelay/node/relay"
	"github.com/auburnrelay/auburnrelay/node/telemetry"
)

const (
	// unconfiguredRetryAfter is the retry delay given to callers before a configuration has been read.
	unconfiguredRetryAfter = 250 * time.Millisecond
	// maxRetryAfterFraction limits the retry delay of a refusal to this fraction of the request's
	// remaining time.
	maxRetryAfterFraction = 0.3
	// defaultTimeout is the timeout of routes that set none. A caller can only shorten it.
	defaultTimeout = 30 * time.Second
)

// Configuration is the configuration by which a node routes.
type Configuration interface {
	// Current returns the configuration in force, or nil before one is known.
	Current() *routing.Config
	// IsLatest reports whether the configuration in force is the latest one, as far as the node can know.
	IsLatest() bool
}

// Handler is the http.Handler for callers.
type Handler struct {
	codec    exchange.Codec
	config   Configuration
	dispatch *Dispatcher
	service  string
	log      *telemetry.RequestLog
	metrics  *telemetry.Metrics
}

// NewHandler returns the handler of a node whose local target runs the service. The service is
// passed on as the caller's identity, whatever the request's headers claim.
func NewHandler(codec exchange.Codec, config Configuration, d *Dispatcher, service string) *Handler {
	return &Handler{codec: codec, config: config, dispatch: d, service: service, log: d.deps.Log, metrics: d.deps.Metrics}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	meta, metaErr := h.codec.DecodeRequest(r.Header)
	config := h.config.Current()
	if config == nil {
		h.log.Unusual("request refused", "id", meta.ID, "reason", "no configuration")
		h.refuse(w, meta.ID, http.StatusServiceUnavailable, unconfiguredRetryAfter, "no configuration")
		return
	}
	route := config.Lookup(r.Host, r.URL.Path)
	if route == nil && !h.config.IsLatest() {
		// A later configuration may have the route.
		h.log.Unusual("request refused", "id", meta.ID, "reason", "no route, configuration not confirmed", "host", r.Host, "path", r.URL.Path,
			"config", config.Version)
		h.refuse(w, meta.ID, http.StatusServiceUnavailable, unconfiguredRetryAfter, "configuration not confirmed")
		return
	}
	if route == nil {
		h.log.Unusual("no route", "id", meta.ID, "host", r.Host, "path", r.URL.Path, "config", config.Version)
		h.refuse(w, meta.ID, http.StatusNotFound, 0, "no route")
		return
	}
	if metaErr != nil {
		h.log.Unusual("malformed request", "id", meta.ID, "cause", metaErr.Error())
		h.refuse(w, meta.ID, http.StatusBadRequest, 0, metaErr.Error())
		return
	}
	if limit := config.Limits.BodyBytes; limit > 0 {
		if r.ContentLength > limit {
			h.log.Unusual("request body too large", "id", meta.ID, "bytes", r.ContentLength, "limit", limit, "config", config.Version)
			h.refuse(w, meta.ID, http.StatusRequestEntityTooLarge, 0, "body too long")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := relay.ReadBody(r.Body, r.ContentLength)
	if err != nil {
		h.refuseBody(w, meta.ID, err)
		return
	}
	request := h.newRequest(r, meta, config, route, body, arrived)
	result := h.dispatch.Do(r.Context(), request, route)
	h.recordEnd(request, route, config, result, arrived)
	h.answer(w, request, result)
}

// refuseBody answers a request whose body was not read completely, so that nothing of it was sent to a target. The
// connection is aborted if the client has broken it off itself.
func (h *Handler) refuseBody(w http.ResponseWriter, id string, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, budget.ErrFull):
		h.log.Unusual("request refused", "id", id, "reason", string(outcome.ReasonMemory))
		h.refuse(w, id, http.StatusServiceUnavailable, pipeline.RetryAfter, string(outcome.ReasonMemory))
	case errors.Is(err, pipeline.ErrBodyTooSlow):
		h.log.Unusual("request body too slow", "id", id)
		h.refuse(w, id, http.StatusRequestTimeout, 0, "body too slow")
	case errors.As(err, &tooLarge):
		h.log.Unusual("request body too large", "id", id, "limit", tooLarge.Limit)
		h.refuse(w, id, http.StatusRequestEntityTooLarge, 0, "body too long")
	default:
		h.log.Unusual("request body could not be read, connection aborted", "id", id, "cause", err.Error())
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) newRequest(
	r *http.Request, meta exchange.RequestMeta, config *routing.Config, route *routing.Route, body *relay.Body, arrived time.Time,
) *relay.Request {
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if meta.HasTimeout {
		timeout = min(timeout, meta.Timeout)
	}
	for name := range r.Header {
		if strings.HasPrefix(name, "Auburnrelay-") {
			delete(r.Header, name)
		}
	}
	service := route.Pick(rand.Float64())
	return &relay.Request{
		RequestMeta: meta, Method: r.Method, RequestURI: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
		Service: service, Keyed: meta.HasKey && config.Services[service].Keyed, CallerService: h.service,
		Kind: route.Kind, Priority: route.Priority, Objective: route.Objective, Homes: routing.RegionsOf(route.Homes),
		Deadline: arrived.Add(timeout),
	}
}

// recordEnd logs the end of a request and records it in the metrics.
func (h *Handler) recordEnd(r *relay.Request, route *routing.Route, config *routing.Config, result relay.Result, arrived time.Time) {
	took := time.Since(arrived)
	h.metrics.RequestEnded(r.Kind.String(), result.End, took)
	logEnd, status := h.log.Unusual, 0
	if result.Answer != nil {
		status = result.Answer.Status
	}
	if status == http.StatusInternalServerError {
		h.metrics.TargetError(r.Service)
	}
	if result.Outcome == outcome.Answered && status < http.StatusInternalServerError {
		logEnd = h.log.Routine
	}
	logEnd("request ended", "id", r.ID, "route", route.Name, "kind", route.Kind.String(), "config", config.Version,
		"service", r.Service, "key", r.Key, "table", r.TableVersion, "outcome", result.Outcome.String(), "reason", string(result.Reason),
		"status", status, "target", result.Target, "detail", result.Detail,
		"took_ms", took.Milliseconds(), "left_ms", r.Remaining().Milliseconds())
}

// answer writes the response that corresponds to the result.
func (h *Handler) answer(w http.ResponseWriter, r *relay.Request, result relay.Result) {
	switch result.Outcome {
	case outcome.Answered:
		result.Answer.WriteResponse(w, r.Method)
	case outcome.NotRun:
		retryAfter := max(result.RetryAfter, minRetryAfter)
		if result.Retryable() {
			// An owner appears with a heartbeat or when a lease lapses, which takes longer than
			// one request.
			retryAfter = ownerRetryAfter
		}
		retryAfter = min(retryAfter, time.Duration(maxRetryAfterFraction*float64(max(0, r.Remaining()))))
		h.refuse(w, r.ID, http.StatusServiceUnavailable, retryAfter, string(result.Reason))
	default:
		status := http.StatusBadGateway
		if result.Reason == outcome.ReasonDeadline {
			status = http.StatusGatewayTimeout
		}
		h.refuse(w, r.ID, status, 0, string(result.Reason))
	}
}

// ownerRetryAfter is the retry delay of a refusal that lasts until another owner or target is ready.
const ownerRetryAfter = time.Second

// minRetryAfter is the shortest retry delay of a refusal: about the time that one request
// occupies a slot, after which a slot may be free.
const minRetryAfter = 60 * time.Millisecond

func (h *Handler) refuse(w http.ResponseWriter, id string, status int, retryAfter time.Duration, reason string) {
	h.codec.EncodeRefusal(w.Header(), id, retryAfter)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// The write fails only if the caller has disconnected; nobody is left to inform.
	_, _ = w.Write([]byte(reason + "\n"))
}
