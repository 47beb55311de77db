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
	maxAddBodyBytes = 4 << 10 // of an add's body
	maxNameBytes    = 128     // of a tally's name, and of an add's id
	maxAmount       = 1 << 53 // of one add, either way: whole numbers that JSON carries exactly
)

// addRequest is the body of an add.
type addRequest struct {
	ID     string `json:"id"`
	Amount *int64 `json:"by"`
}

// totalReply is the body of a read.
type totalReply struct {
	Total int64 `json:"total"`
}

var (
	errInvalidName   = errors.New("want a tally's name of 1 to 128 bytes of UTF-8")
	errInvalidID     = errors.New("want an id of 1 to 128 bytes of UTF-8")
	errInvalidAmount = errors.New("by: want a whole number of at most 2^53, either way")
)

// parseAdd reads an add's body.
func parseAdd(name string, body []byte) (tally.Add, error) {
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
	return tally.Add{ID: request.ID, Tally: name, By: *request.Amount}, nil
}

// validName tells whether a name or an id can be kept: machines tell each other text, and text that is no UTF-8 is refused on the way.
func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name)
}

// statusOf has the answer's status for each outcome: 503 promises that nothing was done.
var httpStatusByOutcome = map[tally.Outcome]int{
	tally.Acknowledged: http.StatusOK,
	tally.Conflicting:  http.StatusConflict,
	tally.Refused:      http.StatusServiceUnavailable,
	tally.Unclear:      http.StatusGatewayTimeout,
}

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
	limited, cancel := context.WithTimeout(ctx.Request().Context(), requestTimeout)
	defer cancel()
	began := time.Now()
	answer := t.add(limited, add)
	t.log.Debug().Str("step", "add").Str("tally", add.Tally).Str("id", add.ID).Int64("by", add.By).Int("outcome", int(answer.Outcome)).
		Str("reason", answer.Reason).Dur("took", time.Since(began)).Msg("add")
	if answer.Outcome != tally.Acknowledged {
		return ctx.JSON(httpStatusByOutcome[answer.Outcome], errorResponse{answer.Reason})
	}
	return ctx.JSON(http.StatusOK, struct{}{})
}

// add hands an add to the owner and waits for its outcome.
func (t *tallyService) add(ctx context.Context, add tally.Add) tally.Answer {
	if !t.loaded.Load() {
		return tally.Answer{Outcome: tally.Refused, Reason: errLoading.Error()}
	}
	answers := make(chan tally.Answer, 1)
	t.enqueue(func() {
		t.lastToken++
		t.pendingAdds[t.lastToken] = answers
		t.applyOutput(t.replica.Add(t.sinceStart(), t.lastToken, add))
	})
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		return tally.Answer{Outcome: tally.Unclear, Reason: "no answer in time"}
	case <-t.done:
		return tally.Answer{Outcome: tally.Unclear, Reason: errShuttingDown.Error()}
	}
}

func (t *tallyService) getTotal(ctx echo.Context) error {
	limited, cancel := context.WithTimeout(ctx.Request().Context(), requestTimeout)
	defer cancel()
	name := ctx.Param("tally")
	if !validName(name) {
		return ctx.JSON(http.StatusBadRequest, errorResponse{errInvalidName.Error()})
	}
	total, err := t.readTotal(limited, name)
	if err != nil {
		t.log.Debug().Err(err).Str("step", "total").Str("tally", name).Msg("not answered")
		return ctx.JSON(http.StatusServiceUnavailable, errorResponse{err.Error()})
	}
	return ctx.JSON(http.StatusOK, totalReply{total})
}

// reading is what a read came to.
type totalResult struct {
	total int64
	err   error
}

// total reads a tally at the owner.
func (t *tallyService) readTotal(ctx context.Context, name string) (int64, error) {
	if !t.loaded.Load() {
		return 0, errLoading
	}
	readings := make(chan totalResult, 1)
	t.enqueue(func() {
		total, err := t.replica.Read(t.sinceStart(), name)
		readings <- totalResult{total, err}
	})
	select {
	case read := <-readings:
		return read.total, read.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-t.done:
		return 0, errShuttingDown
	}
}
