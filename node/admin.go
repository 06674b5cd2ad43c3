package node

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// adminHeaderTimeout is the timeout for reading the headers of a request to the admin and target
// listeners.
const adminHeaderTimeout = 5 * time.Second

// adminSource provides the data that the admin listener serves.
type adminSource struct {
	// ready reports whether the node takes callers' requests, and otherwise the reason.
	ready func() (bool, string)
	// status returns the node's state as a value that can be encoded as JSON.
	status   func() any
	gatherer prometheus.Gatherer
}

// newAdminServer returns a server for metrics, health, readiness and status.
func newAdminServer(source adminSource) *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(source.gatherer, promhttp.HandlerOpts{})))
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if ready, reason := source.ready(); !ready {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, source.status()) })
	return &http.Server{Handler: e, ReadHeaderTimeout: adminHeaderTimeout}
}
