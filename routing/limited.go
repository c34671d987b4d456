package routing

// Limited returns the organisations that have a quota, in no particular order.
func (s *Organisations) Limited() []Organisation {
	var limited []Organisation
	for _, o := range s.byName {
		if o.Limited() {
			limited = append(limited, o)
		}
	}
	return limited
}
