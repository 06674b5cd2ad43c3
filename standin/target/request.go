package target

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/auburnrelay/auburnrelay/core/fence"
	"github.com/auburnrelay/auburnrelay/standin/execlog"
)

// Headers of work requests and of their responses.
const (
	HeaderRequestID = "Auburnrelay-Request-Id"
	HeaderAttempt   = "Auburnrelay-Attempt"
	HeaderSlice     = "Auburnrelay-Slice"
	HeaderFence     = "Auburnrelay-Fence"
	HeaderRemaining = "Auburnrelay-Remaining-Ms"
	HeaderStartBy   = "Auburnrelay-Start-By-Boot-Ms"
	HeaderNotRun    = "Auburnrelay-Not-Run"
)

// Reason is the reason why a request was refused before any part of it ran.
type Reason string

// The reasons for a refusal.
const (
	ReasonFence     Reason = "fence"
	ReasonLapsed    Reason = "lapsed"
	ReasonShed      Reason = "shed"
	ReasonDraining  Reason = "draining"
	ReasonStarting  Reason = "starting"
	ReasonDeadline  Reason = "deadline"
	ReasonCancelled Reason = "cancelled"
)

const (
	workPath          = "/work/"
	maxResponseBytes  = 1 << 30
	retryAfterSeconds = "1"
)

// request is one parsed work request.
type request struct {
	service string
	key     string
	// subpath is the path after the key.
	subpath  string
	method   string
	id       string
	attempt  string
	slice    string
	fence    fence.Fence
	deadline time.Time
	// startBy is the latest start on the boot-time clock; zero sets none.
	startBy time.Duration
	// responseBytes is the size of the response body, and responseRate its transfer rate in
	// bytes per second. A zero size asks for an AnswerMessage; a zero rate sets no limit.
	responseBytes int64
	responseRate  int64
}

func parseRequest(r *http.Request) (request, error) {
	path := strings.TrimPrefix(r.URL.EscapedPath(), workPath)
	service, path, _ := strings.Cut(path, "/")
	escapedKey, rest, _ := strings.Cut(path, "/")
	key, err := url.PathUnescape(escapedKey)
	if err != nil || key == "" || service == "" {
		return request{}, echo.NewHTTPError(http.StatusBadRequest, "path is not /work/SERVICE/KEY")
	}
	q := request{
		service: service,
		key:     key,
		subpath: rest,
		method:  r.Method,
		id:      r.Header.Get(HeaderRequestID),
		attempt: r.Header.Get(HeaderAttempt),
		slice:   r.Header.Get(HeaderSlice),
	}
	if text := r.Header.Get(HeaderFence); text != "" {
		if q.fence, err = fence.Parse(text); err != nil {
			return request{}, echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
	}
	if err := q.parseDeadline(r.Header.Get(HeaderRemaining)); err != nil {
		return request{}, err
	}
	if err := q.parseStartBy(r.Header.Get(HeaderStartBy)); err != nil {
		return request{}, err
	}
	return q, q.parseQuery(r.URL.Query())
}

func (q *request) parseDeadline(text string) error {
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "malformed remaining time")
	}
	q.deadline = time.Now().Add(time.Duration(millis) * time.Millisecond)
	return nil
}

func (q *request) parseStartBy(text string) error {
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "malformed latest start")
	}
	q.startBy = time.Duration(millis) * time.Millisecond
	return nil
}

// parseQuery reads the size of a long response in bytes and its rate in bytes per second.
func (q *request) parseQuery(values url.Values) error {
	var err error
	if text := values.Get("bytes"); text != "" {
		q.responseBytes, err = strconv.ParseInt(text, 10, 64)
		if err != nil || q.responseBytes < 0 || q.responseBytes > maxResponseBytes {
			return echo.NewHTTPError(http.StatusBadRequest, "malformed bytes")
		}
	}
	if text := values.Get("rate"); text != "" {
		q.responseRate, err = strconv.ParseInt(text, 10, 64)
		if err != nil || q.responseRate <= 0 {
			return echo.NewHTTPError(http.StatusBadRequest, "malformed rate")
		}
	}
	return nil
}

// kind returns the kind of work, the first path segment after the key.
func (q *request) kind() string {
	kind, _, _ := strings.Cut(q.subpath, "/")
	return kind
}

// expired reports whether the deadline or the latest start of the request has passed.
func (q *request) expired() bool {
	late := q.startBy != 0 && execlog.BootTime() >= q.startBy
	return late || !q.deadline.IsZero() && !time.Now().Before(q.deadline)
}
