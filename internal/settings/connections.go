package settings

import "strconv"

// connectionsElement is the schema's element connections. What it does not set is not bounded.
func connectionsElement() *element {
	count := func(to func(*Settings) *int) func(*Settings, string) {
		return func(s *Settings, v string) { *to(s), _ = strconv.Atoi(v) }
	}
	return &element{attributes: map[string]attribute{
		"open":       may("[1-9][0-9]{1,5}", count(func(s *Settings) *int { return &s.Connections.Open })),
		"idle":       may("[1-9][0-9]{0,5}", count(func(s *Settings) *int { return &s.Connections.Idle })),
		"handshakes": may("[1-9][0-9]{0,4}", count(func(s *Settings) *int { return &s.Connections.Handshakes })),
	}}
}
