package intake

// Observe exports the observation of a proposal's result.
func (s *Service) Observe(err error) { s.observe(err) }
