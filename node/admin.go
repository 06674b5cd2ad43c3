package node

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// adminHeaderTimeout bounds the time a reader of the admin listener takes to ask.
const adminHeaderTimeout = 5 * time.Second

// adminSource is what the admin listener shows.
type adminSource struct {
	// ready reports whether the node takes callers' requests, and why not.
	ready func() (bool, string)
	// status returns the node's state, ready for JSON.
	status   func() any
	gatherer prometheus.Gatherer
}

// newAdminServer returns the server of metrics, health, readiness and status.
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
