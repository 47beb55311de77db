package scale

import (
	"context"
	"encoding/json"
	"errors"

	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
)

func (m *hollow) session(ctx context.Context) { <-ctx.Done() }

// revise reads and checks a version whole, as a mixer does.
func (m *hollow) revise(document json.RawMessage) (protocol.Config, error) {
	return m.begin, nil
}

// adopt has the module take it.
func (m *hollow) adopt(c protocol.Config) {}

// fault gives element and value of a rejection.
func fault(err error) (element, value string) {
	if f, ok := errors.AsType[*charter.Fault](err); ok {
		return f.Key, f.Value
	}
	return "", err.Error()
}
