// Package gtmember keeps what a node knows of the others: one record for each
// instance, merged from facts that arrive in any order and any number of times.
//
// # Usage
//
//	table := &gtmember.Table{Now: timer.Time}
//	if table.Merge(record) { forward(record) }
//	for _, r := range table.Service("lending") { ... }
//
// Merging is commutative, associative and idempotent: the higher incarnation
// wins, then the later state of the life cycle. Only the instance itself
// raises its incarnation. Gone records are kept for a time, so that a digest
// from a peer that has not heard of the end does not bring one back; a gone
// record of an instance that was never known is not taken in.
package gtmember

import (
	"fmt"
	"time"
)

// State is a step in the life cycle of an instance. Later values win over
// earlier ones in the same incarnation.
type State int

// The states in order.
const (
	// Starting means that the node runs but its backend server does not answer.
	Starting State = iota
	// Ready means that the backend server takes requests.
	Ready
	// Down means that the backend server has stopped answering its node.
	Down
	// Suspect means that a peer lost its link to the node.
	Suspect
	// Leaving means that the instance is draining and takes no new requests.
	Leaving
	// Gone means that the instance has left or was declared failed.
	Gone
)

var stateNames = [...]string{"starting", "ready", "down", "suspect", "leaving", "gone"}

// String returns the state's name.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// ParseState returns the state with the given name.
func ParseState(name string) (State, bool) {
	for i, n := range stateNames {
		if n == name {
			return State(i), true
		}
	}
	return Gone, false
}

// Record is what is known of one instance. It is a value: the With methods
// return a changed copy.
type Record struct {
	instance    string
	zone        string
	service     string
	version     string
	hop         string
	peer        string
	slots       int
	incarnation uint64
	state       State
	seen        time.Time
}

// NewRecord returns a record in state Starting. The addresses are host:port
// pairs: hop takes requests from other nodes, peer takes overlay links.
func NewRecord(instance, zone, hop, peer string) Record {
	return Record{instance: instance, zone: zone, hop: hop, peer: peer, slots: 1, incarnation: 1}
}

// Instance returns the unique name of the instance.
func (r Record) Instance() string { return r.instance }

// Zone returns the availability zone of the instance.
func (r Record) Zone() string { return r.zone }

// Service returns the service that the backend server belongs to.
func (r Record) Service() string { return r.service }

// Version returns the backend server's version.
func (r Record) Version() string { return r.version }

// Hop returns the host:port that takes requests from other nodes.
func (r Record) Hop() string { return r.hop }

// Peer returns the host:port that takes overlay links.
func (r Record) Peer() string { return r.peer }

// Slots returns how many requests the backend server can run at once.
func (r Record) Slots() int { return r.slots }

// Incarnation returns the number that only the instance itself raises.
func (r Record) Incarnation() uint64 { return r.incarnation }

// State returns the step of the life cycle.
func (r Record) State() State { return r.state }

// Seen returns when this table last changed the record.
func (r Record) Seen() time.Time { return r.seen }

// Alive says whether the instance is there, as far as is known.
func (r Record) Alive() bool { return r.state < Suspect }

// WithBackend returns a copy with the backend server's service, version and
// number of slots.
func (r Record) WithBackend(service, version string, slots int) Record {
	r.service, r.version, r.slots = service, version, max(slots, 1)
	return r
}

// WithState returns a copy in the given state.
func (r Record) WithState(s State) Record {
	r.state = s
	return r
}

// WithIncarnation returns a copy with the given incarnation.
func (r Record) WithIncarnation(n uint64) Record {
	r.incarnation = n
	return r
}

// Supersedes says whether r wins over old when both are about one instance.
func (r Record) Supersedes(old Record) bool {
	if r.incarnation != old.incarnation {
		return r.incarnation > old.incarnation
	}
	return r.state > old.state
}
