// Package metrics serves a program's own figures as text, in the exposition format of Prometheus, on the port and path that its
// deployment names. It decides nothing, and a program serves on where it fails.
package metrics

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"
)

const (
	// readLimit bounds a reader's request, and answerLimit what it takes to answer it.
	readTimeout     = 2 * time.Second
	responseTimeout = 5 * time.Second
	maxPort         = 65535
)

// Endpoint is where figures are served, on the machine's own address.
type Endpoint struct {
	Port int
	Path string // begins with a slash
}

// ParseEndpoint reads PORT/PATH, as the deploy file has it.
func ParseEndpoint(text string) (Endpoint, error) {
	port, path, _ := strings.Cut(text, "/")
	number, err := strconv.Atoi(port)
	if err != nil || number < 1 || number > maxPort {
		return Endpoint{}, merry.Errorf("metrics: want PORT/PATH with a port of 1 to %d, not %q", maxPort, text)
	}
	return Endpoint{Port: number, Path: "/" + path}, nil
}

// Set collects figures that are read once.
type Set struct {
	set    *metrics.Set
	values map[string]float64
}

// NewSet makes an empty set.
func NewSet() *Set { return &Set{set: metrics.NewSet(), values: map[string]float64{}} }

// Value gives a figure that was added.
func (s *Set) Value(name string) (value float64, there bool) {
	value, there = s.values[name]
	return value, there
}

// Add adds a figure. Labels, if any, stand in braces behind the name.
func (s *Set) Add(name string, value float64) {
	s.values[name] = value
	s.set.NewGauge("nettlefold_"+name, func() float64 { return value })
}

// AddFlag adds a figure that is 1 or 0.
func (s *Set) AddFlag(name string, value bool) {
	figure := 0.0
	if value {
		figure = 1
	}
	s.Add(name, figure)
}

// Source is a program that tells its figures. It may fail while it is busy or ending.
type Source interface {
	Metrics(ctx context.Context) (*Set, error)
}

// Listen listens on an endpoint of the machine at ip.
func Listen(ip string, at Endpoint) (net.Listener, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(at.Port)))
	if err != nil {
		return nil, merry.Prepend(err, "metrics: listen")
	}
	return listener, nil
}

// Serve answers on a listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, at Endpoint, source Source) error {
	server := &http.Server{Handler: newHandler(at, source), ReadTimeout: readTimeout, WriteTimeout: responseTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return merry.Prepend(err, "metrics: serve")
	}
	return nil
}

func newHandler(at Endpoint, source Source) http.Handler {
	e := echo.New()
	e.GET(at.Path, func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(c.Request().Context(), responseTimeout)
		defer cancel()
		figures, err := source.Metrics(ctx)
		if err != nil {
			return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
		}
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4; charset=utf-8")
		figures.set.WritePrometheus(c.Response())
		metrics.WriteProcessMetrics(c.Response())
		return nil
	})
	return e
}
