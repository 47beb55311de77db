package controller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"reflect"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"nettlefold/internal/strictjson"
	"nettlefold/internal/tally"
)

const (
	maxAddBodyBytes = 4 << 10 // body of an add request
	maxNameBytes    = 128     // name of a tally, and ID of an add
	maxAmount       = 1 << 53 // absolute amount of one add; JSON carries integers exactly up to 2^53
)

// addRequest is the body of an add request.
type addRequest struct {
	ID     string `json:"id"`
	Amount *int64 `json:"by"`
}

// totalReply is the body of the response to a read.
type totalReply struct {
	Total int64 `json:"total"`
}

var (
	errInvalidName   = errors.New("want a tally's name of 1 to 128 bytes of UTF-8")
	errInvalidID     = errors.New("want an id of 1 to 128 bytes of UTF-8")
	errInvalidAmount = errors.New("by: want a whole number of at most 2^53, either way")
)

var addRequestShape = strictjson.ShapeOf(reflect.TypeFor[addRequest]())

// parseAdd parses and validates the body of an add request.
func parseAdd(name string, body []byte) (tally.Add, error) {
	if err := addRequestShape.Check(body); err != nil {
		return tally.Add{}, err
	}
	var request addRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return tally.Add{}, err
	}
	switch {
	case !validName(name):
		return tally.Add{}, errInvalidName
	case !validName(request.ID):
		return tally.Add{}, errInvalidID
	case request.Amount == nil || *request.Amount > maxAmount || *request.Amount < -maxAmount:
		return tally.Add{}, errInvalidAmount
	}
	return tally.Add{ID: request.ID, Tally: name, Amount: *request.Amount}, nil
}

// validName reports whether a tally's name or an ID can be stored: machines exchange them as text,
// and the decoder rejects text that is not UTF-8.
func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name)
}

// httpStatusByOutcome maps the outcome of an add to the HTTP status; 503 guarantees that the add
// was not accepted.
var httpStatusByOutcome = map[tally.Outcome]int{
	tally.Acknowledged: http.StatusOK,
	tally.Conflicting:  http.StatusConflict,
	tally.Refused:      http.StatusServiceUnavailable,
	tally.Unclear:      http.StatusGatewayTimeout,
}

// postAdd handles POST /v1/tallies/:tally.
func (t *tallyService) postAdd(ctx echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(ctx.Request().Body, maxAddBodyBytes+1))
	if err != nil {
		return ctx.JSON(http.StatusBadRequest, errorResponse{"the body cannot be read: " + err.Error()})
	}
	if len(body) > maxAddBodyBytes {
		return ctx.JSON(http.StatusRequestEntityTooLarge, errorResponse{"the body is too large"})
	}
	add, err := parseAdd(ctx.Param("tally"), body)
	if err != nil {
		return ctx.JSON(http.StatusBadRequest, errorResponse{err.Error()})
	}
	callCtx, cancel := context.WithTimeout(ctx.Request().Context(), requestTimeout)
	defer cancel()
	began := time.Now()
	answer := t.add(callCtx, add)
	t.log.Debug().Str("step", "add").Str("tally", add.Tally).Str("id", add.ID).Int64("by", add.Amount).Int("outcome", int(answer.Outcome)).
		Str("reason", answer.Reason).Dur("took", time.Since(began)).Msg("tally add answered")
	if answer.Outcome != tally.Acknowledged {
		return ctx.JSON(httpStatusByOutcome[answer.Outcome], errorResponse{answer.Reason})
	}
	return ctx.JSON(http.StatusOK, struct{}{})
}

// add passes an add to the tally loop and waits for its outcome.
func (t *tallyService) add(ctx context.Context, add tally.Add) tally.Result {
	if !t.loaded.Load() {
		return tally.Result{Outcome: tally.Refused, Reason: errLoading.Error()}
	}
	answers := make(chan tally.Result, 1)
	t.enqueue(func() {
		t.lastToken++
		t.pendingAdds[t.lastToken] = answers
		t.applyOutput(t.replica.Add(t.sinceStart(), t.lastToken, add))
	})
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		return tally.Result{Outcome: tally.Unclear, Reason: "no answer in time"}
	case <-t.done:
		return tally.Result{Outcome: tally.Unclear, Reason: errShuttingDown.Error()}
	}
}

// getTotal handles GET /v1/tallies/:tally.
func (t *tallyService) getTotal(ctx echo.Context) error {
	callCtx, cancel := context.WithTimeout(ctx.Request().Context(), requestTimeout)
	defer cancel()
	name := ctx.Param("tally")
	if !validName(name) {
		return ctx.JSON(http.StatusBadRequest, errorResponse{errInvalidName.Error()})
	}
	total, err := t.readTotal(callCtx, name)
	if err != nil {
		t.log.Debug().Err(err).Str("step", "total").Str("tally", name).Msg("tally read failed")
		return ctx.JSON(http.StatusServiceUnavailable, errorResponse{err.Error()})
	}
	return ctx.JSON(http.StatusOK, totalReply{total})
}

// totalResult is the result of a read.
type totalResult struct {
	total int64
	err   error
}

// readTotal reads a tally in the tally loop.
func (t *tallyService) readTotal(ctx context.Context, name string) (int64, error) {
	if !t.loaded.Load() {
		return 0, errLoading
	}
	results := make(chan totalResult, 1)
	t.enqueue(func() {
		total, err := t.replica.Total(t.sinceStart(), name)
		results <- totalResult{total, err}
	})
	select {
	case result := <-results:
		return result.total, result.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-t.done:
		return 0, errShuttingDown
	}
}
