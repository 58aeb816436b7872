package gtroute

// Reason tells why a request of a service with a move goes to a version.
type Reason int

// The reasons.
const (
	// Drawn means that the version was drawn by the share of the new version.
	Drawn Reason = iota
	// Fallback means that the version that was drawn has no eligible instance.
	Fallback
	// Retry means that the request has been tried on another instance.
	Retry
)

var reasonNames = [...]string{"drawn", "fallback", "retry"}

// String returns the reason's name, as in metrics.
func (r Reason) String() string { return reasonNames[r] }

// reason returns the reason for the version with the given index in the order of
// preference.
func (q Query) reason(index int) Reason {
	switch {
	case len(q.tried) > 0:
		return Retry
	case index > 0:
		return Fallback
	default:
		return Drawn
	}
}
