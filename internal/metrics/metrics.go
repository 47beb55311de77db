// Package metrics serves a program's metrics over HTTP in the Prometheus text exposition format. A
// caller should log an error of this package and keep running.
package metrics

import (
	"context"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"

	"nettlefold/internal/listen"
)

const (
	readTimeout     = 2 * time.Second // for a request
	responseTimeout = 5 * time.Second // for collecting and writing the metrics
	maxPort         = 65535
)

// Endpoint is the port and path at which metrics are served. Listen takes the IP address.
type Endpoint struct {
	Port int
	Path string // begins with a slash
}

// ParseEndpoint parses PORT/PATH, the form that the deploy file uses.
func ParseEndpoint(text string) (Endpoint, error) {
	port, path, _ := strings.Cut(text, "/")
	number, err := strconv.Atoi(port)
	if err != nil || number < 1 || number > maxPort {
		return Endpoint{}, merry.Errorf("metrics: parse endpoint %q: want PORT/PATH with a port from 1 to %d", text, maxPort)
	}
	return Endpoint{Port: number, Path: "/" + path}, nil
}

// Set is a snapshot of a program's metrics, collected for one request.
type Set struct {
	set    *metrics.Set
	values map[string]float64 // by name with labels, without the prefix nettlefold_
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{set: metrics.NewSet(), values: map[string]float64{}} }

// Value returns the value of a metric and whether it was added. The name is as passed to Add.
func (s *Set) Value(name string) (value float64, exists bool) {
	value, exists = s.values[name]
	return value, exists
}

// Add adds a metric. Labels, if any, follow the name in braces. The name is exported with the prefix
// nettlefold_.
func (s *Set) Add(name string, value float64) {
	s.values[name] = value
	s.set.NewGauge("nettlefold_"+name, func() float64 { return value })
}

// AddFlag adds a metric that is 1 for true and 0 for false.
func (s *Set) AddFlag(name string, value bool) {
	number := 0.0
	if value {
		number = 1
	}
	s.Add(name, number)
}

// Source collects a program's metrics. It may fail while the program is busy or shutting down.
type Source interface {
	Metrics(ctx context.Context) (*Set, error)
}

// Listen listens on the endpoint's port at the given IP address once that is free, and reports what it waits for.
func Listen(ctx context.Context, ip string, endpoint Endpoint, report func(err error)) (net.Listener, error) {
	addr := net.JoinHostPort(ip, strconv.Itoa(endpoint.Port))
	listener, err := listen.Await(ctx, listen.TCP(addr), report)
	if err != nil {
		return nil, merry.Prepend(err, "metrics: listen on "+addr)
	}
	return listener, nil
}

// maxHeaderBytes bounds the head of a request for metrics.
const maxHeaderBytes = 16 << 10

// Serve serves the metrics of source on a listener until ctx is done. It then returns nil.
func Serve(ctx context.Context, listener net.Listener, endpoint Endpoint, source Source) error {
	server := &http.Server{Handler: newHandler(endpoint, source), ReadTimeout: readTimeout, WriteTimeout: responseTimeout, MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return merry.Prepend(err, "metrics: serve on "+listener.Addr().String())
	}
	return nil
}

// newHandler returns a handler that collects and writes the metrics of source for each request. It
// responds with status 503 if they can't be collected.
func newHandler(endpoint Endpoint, source Source) http.Handler {
	e := echo.New()
	e.Logger.SetOutput(log.Writer())
	e.GET(endpoint.Path, func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(c.Request().Context(), responseTimeout)
		defer cancel()
		set, err := source.Metrics(ctx)
		if err != nil {
			return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
		}
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4; charset=utf-8")
		set.set.WritePrometheus(c.Response())
		metrics.WriteProcessMetrics(c.Response())
		return nil
	})
	return e
}
