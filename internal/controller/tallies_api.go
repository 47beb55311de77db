package controller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"nettlefold/internal/tally"
)

const (
	maxAddBytes  = 4 << 10 // of an add's body
	maxNameBytes = 128     // of a tally's name, and of an add's id
	maxAmount    = 1 << 53 // of one add, either way: whole numbers that JSON carries exactly
)

// addRequest is the body of an add.
type addRequest struct {
	ID string `json:"id"`
	By *int64 `json:"by"`
}

// totalReply is the body of a read.
type totalReply struct {
	Total int64 `json:"total"`
}

var (
	errBadName   = errors.New("want a tally's name of 1 to 128 bytes of UTF-8")
	errBadID     = errors.New("want an id of 1 to 128 bytes of UTF-8")
	errBadAmount = errors.New("by: want a whole number of at most 2^53, either way")
)

// parseAdd reads an add's body.
func parseAdd(name string, body []byte) (tally.Add, error) {
	var request addRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return tally.Add{}, err
	}
	switch {
	case !validName(name):
		return tally.Add{}, errBadName
	case !validName(request.ID):
		return tally.Add{}, errBadID
	case request.By == nil || *request.By > maxAmount || *request.By < -maxAmount:
		return tally.Add{}, errBadAmount
	}
	return tally.Add{ID: request.ID, Tally: name, Amount: *request.By}, nil
}

// validName tells whether a name or an id can be kept: machines tell each other text, and text that is no UTF-8 is refused on the way.
func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name)
}

// statusOf has the answer's status for each outcome: 503 promises that nothing was done.
var statusOf = map[tally.Outcome]int{
	tally.Acknowledged: http.StatusOK,
	tally.Conflicting:  http.StatusConflict,
	tally.Refused:      http.StatusServiceUnavailable,
	tally.Unclear:      http.StatusGatewayTimeout,
}

func (t *tallies) postAdd(ctx echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(ctx.Request().Body, maxAddBytes+1))
	if err != nil {
		return ctx.JSON(http.StatusBadRequest, problem{"the body cannot be read: " + err.Error()})
	}
	if len(body) > maxAddBytes {
		return ctx.JSON(http.StatusRequestEntityTooLarge, problem{"the body is too large"})
	}
	add, err := parseAdd(ctx.Param("tally"), body)
	if err != nil {
		return ctx.JSON(http.StatusBadRequest, problem{err.Error()})
	}
	limited, cancel := context.WithTimeout(ctx.Request().Context(), callLimit)
	defer cancel()
	began := time.Now()
	answer := t.add(limited, add)
	t.log.Debug().Str("step", "add").Str("tally", add.Tally).Str("id", add.ID).Int64("by", add.Amount).Int("outcome", int(answer.Outcome)).
		Str("reason", answer.Reason).Dur("took", time.Since(began)).Msg("add")
	if answer.Outcome != tally.Acknowledged {
		return ctx.JSON(statusOf[answer.Outcome], problem{answer.Reason})
	}
	return ctx.JSON(http.StatusOK, struct{}{})
}

// add hands an add to the owner and waits for its outcome.
func (t *tallies) add(ctx context.Context, add tally.Add) tally.Result {
	if !t.opened.Load() {
		return tally.Result{Outcome: tally.Refused, Reason: errReading.Error()}
	}
	answers := make(chan tally.Result, 1)
	t.enqueue(func() {
		t.token++
		t.calls[t.token] = answers
		t.perform(t.replica.Add(t.now(), t.token, add))
	})
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		return tally.Result{Outcome: tally.Unclear, Reason: "no answer in time"}
	case <-t.done:
		return tally.Result{Outcome: tally.Unclear, Reason: errEnding.Error()}
	}
}

func (t *tallies) getTotal(ctx echo.Context) error {
	limited, cancel := context.WithTimeout(ctx.Request().Context(), callLimit)
	defer cancel()
	name := ctx.Param("tally")
	if !validName(name) {
		return ctx.JSON(http.StatusBadRequest, problem{errBadName.Error()})
	}
	total, err := t.total(limited, name)
	if err != nil {
		t.log.Debug().Err(err).Str("step", "total").Str("tally", name).Msg("not answered")
		return ctx.JSON(http.StatusServiceUnavailable, problem{err.Error()})
	}
	return ctx.JSON(http.StatusOK, totalReply{total})
}

// reading is what a read came to.
type reading struct {
	total int64
	err   error
}

// total reads a tally at the owner.
func (t *tallies) total(ctx context.Context, name string) (int64, error) {
	if !t.opened.Load() {
		return 0, errReading
	}
	readings := make(chan reading, 1)
	t.enqueue(func() {
		total, err := t.replica.Total(t.now(), name)
		readings <- reading{total, err}
	})
	select {
	case read := <-readings:
		return read.total, read.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-t.done:
		return 0, errEnding
	}
}
