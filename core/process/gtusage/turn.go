package gtusage

// TurnsPerCycle is the number of turns in which a node sends to each receiver once. The
// receivers get counts at different turns, so that of a killed node no more is lost than
// it counted between two turns that have a receiver, and not of a whole cycle.
const TurnsPerCycle = 4

// Turn returns the indices of the receivers that are sent counts at a turn, of a number of
// receivers. A single one is sent them twice in each cycle.
func Turn(turn, receivers int) []int {
	turn %= TurnsPerCycle
	if receivers == 1 {
		if turn%2 == 0 {
			return []int{0}
		}
		return nil
	}
	var out []int
	for i := range receivers {
		if i*TurnsPerCycle/receivers == turn {
			out = append(out, i)
		}
	}
	return out
}
