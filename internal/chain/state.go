package chain

import "nettlefold/internal/replicated"

func decodeState(encoded []byte) (*replicated.State, error) { return replicated.Decode(encoded) }
