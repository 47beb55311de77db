package controller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"nettlefold/internal/config"
	"nettlefold/internal/distribute"
	"nettlefold/internal/memlimit"
	"nettlefold/internal/replicated"
	"nettlefold/internal/strictjson"
)

const (
	// maxRequestBodyBytes limits the body of a request to the API, maxVersionBodyBytes that of a request for new weights.
	maxRequestBodyBytes = 8 << 20
	maxVersionBodyBytes = 64 << 10
	// bodyRoom is how much room in bytes is made for a body at first.
	bodyRoom = 4 << 10
	// configurationExpansion is about how much memory a configuration takes while it is checked, by its text.
	configurationExpansion = 4
	// maxHeaderBytes limits the head of a request to the API, and readTimeout the time in which a request arrives whole.
	maxHeaderBytes = 32 << 10
	readTimeout    = 30 * time.Second
)

// errorResponse is the body of a response that reports an error.
type errorResponse struct {
	Error string `json:"error"`
}

// serveAPI starts the HTTP server of the operator's API on a listener.
func (c *Controller) serveAPI(listener net.Listener) *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Logger.SetOutput(stdlog.Writer())
	e.PUT("/v1/configuration", c.putConfiguration)
	e.GET("/v1/configuration", c.getConfiguration)
	e.POST("/v1/evacuations/:zone", func(ctx echo.Context) error { return c.changeEvacuation(ctx, replicated.KindEvacuate) })
	e.DELETE("/v1/evacuations/:zone", func(ctx echo.Context) error { return c.changeEvacuation(ctx, replicated.KindRestore) })
	e.POST("/v1/version-put", c.putVersion)
	e.GET("/v1/status", c.getStatus)
	e.GET("/v1/readiness", func(ctx echo.Context) error { return ctx.NoContent(http.StatusOK) })
	if c.tallies != nil {
		e.POST("/v1/tallies/:tally", c.tallies.postAdd)
		e.GET("/v1/tallies/:tally", c.tallies.getTotal)
	}
	server := &http.Server{
		Handler: e, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: readTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: maxHeaderBytes,
	}
	go server.Serve(listener)
	return server
}

// putConfiguration handles PUT /v1/configuration; If-Match names the version that the change is
// based on.
func (c *Controller) putConfiguration(ctx echo.Context) error {
	memory := c.memory.NewAccount()
	defer memory.Close()
	body, err := memory.ReadAll(ctx.Request().Body, memlimit.ReadOptions{MaxBytes: maxRequestBodyBytes, InitialBytes: bodyRoom, Weight: configurationExpansion})
	switch {
	case errors.Is(err, memlimit.ErrTooLong):
		return ctx.JSON(http.StatusRequestEntityTooLarge, errorResponse{"the body is too large"})
	case errors.Is(err, memlimit.ErrExhausted):
		return ctx.JSON(http.StatusServiceUnavailable, errorResponse{"there is no memory for the body now"})
	case err != nil:
		return ctx.JSON(http.StatusBadRequest, errorResponse{"the body cannot be read: " + err.Error()})
	}
	base := int64(0)
	if match := strings.Trim(ctx.Request().Header.Get("If-Match"), `" `); match != "" {
		if base, err = strconv.ParseInt(match, 10, 64); err != nil {
			return ctx.JSON(http.StatusBadRequest, errorResponse{"If-Match is no version: " + match})
		}
	}
	digest := config.TextDigest(body)
	c.log.Info().Str("step", "configuration").Str("digest", digest).Int64("base", base).Int("bytes", len(body)).Msg("configuration received")
	receivedAt := time.Now()
	err = c.submitAndRespond(ctx, ctx.Request().Context(), replicated.Operation{Kind: replicated.KindConfig, Body: body, BaseVersion: base})
	c.log.Info().Str("step", "configuration").Str("digest", digest).Int64("base", base).Int("status", ctx.Response().Status).
		Dur("took", time.Since(receivedAt)).Msg("configuration answered")
	return err
}

// submitAndRespond submits an operation and writes its outcome as the HTTP response.
func (c *Controller) submitAndRespond(ctx echo.Context, callCtx context.Context, operation replicated.Operation) error {
	reply := c.submit(callCtx, &distribute.SubmitRequest{Operation: operation})
	c.log.Debug().Str("step", "order").Str("kind", operation.Kind).Int("outcome", reply.Outcome).
		Uint64("seq", reply.Seq).Str("reason", reply.Reason).Msg("operation submitted")
	switch reply.Outcome {
	case distribute.OutcomeCommitted:
		return ctx.JSON(http.StatusOK, struct{}{})
	case distribute.OutcomeConflict:
		return ctx.JSON(http.StatusPreconditionFailed, errorResponse{reply.Reason})
	case distribute.OutcomeInvalid:
		return ctx.JSON(http.StatusBadRequest, errorResponse{reply.Reason})
	}
	return ctx.JSON(http.StatusServiceUnavailable, errorResponse{reply.Reason})
}

// getConfiguration handles GET /v1/configuration.
func (c *Controller) getConfiguration(ctx echo.Context) error {
	reply, err := c.read(ctx.Request().Context(), &distribute.ReadRequest{})
	if err != nil {
		return ctx.JSON(http.StatusServiceUnavailable, errorResponse{err.Error()})
	}
	if len(reply.Config) == 0 {
		return ctx.JSON(http.StatusNotFound, errorResponse{"no configuration was taken yet"})
	}
	// Without a length a caller of HTTP/1.0 would take an answer that is cut for a whole one.
	ctx.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(reply.Config)))
	return ctx.Blob(http.StatusOK, echo.MIMEApplicationJSON, reply.Config)
}

// changeEvacuation evacuates or restores a zone, based on the newest operation for that zone: if it
// is delayed on its way to the head, it must not undo an operation that was committed after it.
func (c *Controller) changeEvacuation(ctx echo.Context, kind string) error {
	zone := ctx.Param("zone")
	if _, known := c.settings.Zones[zone]; !known {
		return ctx.JSON(http.StatusNotFound, errorResponse{"there is no zone " + zone})
	}
	callCtx, cancel := context.WithTimeout(ctx.Request().Context(), requestTimeout)
	defer cancel()
	newest, err := c.read(callCtx, &distribute.ReadRequest{Zone: zone})
	if err != nil {
		return ctx.JSON(http.StatusServiceUnavailable, errorResponse{err.Error()})
	}
	return c.submitAndRespond(ctx, callCtx, replicated.Operation{Kind: kind, Zone: zone, BaseZoneSeq: newest.ZoneSeq})
}

// versionRequest is the body of POST /v1/version-put.
type versionRequest struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
}

var versionRequestShape = strictjson.ShapeOf(reflect.TypeFor[versionRequest]())

// putVersion handles POST /v1/version-put.
func (c *Controller) putVersion(ctx echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(ctx.Request().Body, maxVersionBodyBytes))
	if err != nil {
		return ctx.JSON(http.StatusBadRequest, errorResponse{"the body cannot be read: " + err.Error()})
	}
	if err := versionRequestShape.Check(body); err != nil {
		return ctx.JSON(http.StatusBadRequest, errorResponse{err.Error()})
	}
	var request versionRequest
	if err := json.Unmarshal(body, &request); err != nil || request.Model == "" || request.Version < 1 {
		return ctx.JSON(http.StatusBadRequest, errorResponse{"want a model and a version of at least 1"})
	}
	return c.submitAndRespond(ctx, ctx.Request().Context(), replicated.Operation{
		Kind: replicated.KindVersion, Model: request.Model, Version: request.Version,
	})
}
