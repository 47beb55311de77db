package settings

import "strconv"

// Subset says how many of a slice's holders a mixer uses, where these are many.
type Subset struct {
	Least, Most int // of a cell; below Least, Most is as Least
	Meetings    int // how often each is to be met while it is remembered how long it takes
	Users       int // mixers by which one searcher is used in the mean, at the least
}

// subsetElement is the schema's element subset.
func subsetElement() *element {
	number := func(at func(*Subset) *int) attribute {
		return may("[1-9][0-9]{0,4}", func(s *Settings, v string) { *at(s.subset()), _ = strconv.Atoi(v) })
	}
	return &element{
		attributes: map[string]attribute{
			"least":    number(func(s *Subset) *int { return &s.Least }),
			"most":     number(func(s *Subset) *int { return &s.Most }),
			"meetings": number(func(s *Subset) *int { return &s.Meetings }),
			"users":    number(func(s *Subset) *int { return &s.Users }),
		},
		whole: func(s *Settings, _ int) error {
			sub := s.subset()
			sub.Most = max(sub.Most, sub.Least)
			return nil
		},
	}
}

func (s *Settings) subset() *Subset {
	if s.Subset == nil {
		s.Subset = &Subset{Least: 32, Most: 64, Meetings: 64, Users: 225}
	}
	return s.Subset
}
