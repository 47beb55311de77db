package measure

func loopback(quick bool, row func(string, float64, float64), claim func(bool, string, ...any)) error {
	return nil
}
