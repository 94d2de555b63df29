package route

// Usable is the filter that keeps targets which can take new work.
type Usable struct{}

// Keep implements Filter.
func (Usable) Keep(r *Request, t *Target) bool {
	return t.Reachable && !t.Leaving && t.EngineUp && !t.Ejected && !r.Avoid[t.Name]
}
