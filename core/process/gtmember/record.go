// Package gtmember keeps the membership as one node sees it: a record for each
// instance, merged from records of peers that may arrive in any order and
// repeatedly.
//
// # Usage
//
//	table := &gtmember.Table{Now: timer.Time}
//	if table.Merge(record) { forward(record) }
//	for _, r := range table.ServiceMembers("lending") { ... }
//
// Merging is commutative, associative and idempotent: the record with the
// higher incarnation wins, and within one incarnation the later state of the
// life cycle. Only the instance itself raises its incarnation. Gone records are
// kept for GoneRetention, so that the digest exchange with a peer that has not
// yet learned of the end of an instance doesn't restore it. A gone record of an
// unknown instance is ignored.
package gtmember

import (
	"fmt"
	"time"
)

// State is a state in the life cycle of an instance. Within one incarnation, later
// states override earlier ones.
type State int

// The states in order.
const (
	// Starting means that the node is running but its backend server does not
	// respond yet.
	Starting State = iota
	// Ready means that the backend server accepts requests.
	Ready
	// Down means that the backend server no longer responds to its node.
	Down
	// Suspect means that a peer has lost its link to the node.
	Suspect
	// Leaving means that the instance is draining and accepts no new requests.
	Leaving
	// Gone means that the instance has left or has been declared failed.
	Gone
)

var stateNames = [...]string{"starting", "ready", "down", "suspect", "leaving", "gone"}

// String returns the name of the state.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// ParseState returns the state with the given name, and false if there is none.
func ParseState(name string) (State, bool) {
	for i, n := range stateNames {
		if n == name {
			return State(i), true
		}
	}
	return Gone, false
}

// Record describes one instance. It is immutable: the With methods return a changed
// copy.
type Record struct {
	instance    string
	zone        string
	service     string
	version     string
	hopAddress  string
	peerAddress string
	slots       int
	incarnation uint64
	state       State
	departed    string
	updatedAt   time.Time
}

// NewRecord returns a record in state Starting. The addresses are host:port pairs:
// hopAddress accepts requests from peers, peerAddress accepts overlay links.
func NewRecord(instance, zone, hopAddress, peerAddress string) Record {
	return Record{instance: instance, zone: zone, hopAddress: hopAddress, peerAddress: peerAddress, slots: 1, incarnation: 1}
}

// Instance returns the unique name of the instance.
func (r Record) Instance() string { return r.instance }

// Zone returns the availability zone of the instance.
func (r Record) Zone() string { return r.zone }

// Service returns the service of the backend server.
func (r Record) Service() string { return r.service }

// Version returns the version of the backend server.
func (r Record) Version() string { return r.version }

// HopAddress returns the host:port that accepts requests from peers.
func (r Record) HopAddress() string { return r.hopAddress }

// PeerAddress returns the host:port that accepts overlay links.
func (r Record) PeerAddress() string { return r.peerAddress }

// Slots returns how many requests the backend server can handle concurrently.
func (r Record) Slots() int { return r.slots }

// Incarnation returns the incarnation number, which only the instance itself
// raises.
func (r Record) Incarnation() uint64 { return r.incarnation }

// State returns the state in the life cycle.
func (r Record) State() State { return r.state }

// Departed identifies the last process of the backend server that announced its
// shutdown, or is empty. Its peers keep it for a node that restarts and has forgotten it.
func (r Record) Departed() string { return r.departed }

// UpdatedAt returns when the table of this node last changed the record.
func (r Record) UpdatedAt() time.Time { return r.updatedAt }

// Alive reports whether the instance is neither suspected, leaving nor gone.
func (r Record) Alive() bool { return r.state < Suspect }

// WithBackend returns a copy with the given service, version and number of slots of
// the backend server. The number of slots is at least 1.
func (r Record) WithBackend(service, version string, slots int) Record {
	r.service, r.version, r.slots = service, version, max(slots, 1)
	return r
}

// WithState returns a copy in the given state.
func (r Record) WithState(s State) Record {
	r.state = s
	return r
}

// WithDeparted returns a copy with the process that announced its shutdown.
func (r Record) WithDeparted(process string) Record {
	r.departed = process
	return r
}

// WithIncarnation returns a copy with the given incarnation.
func (r Record) WithIncarnation(n uint64) Record {
	r.incarnation = n
	return r
}

// Supersedes reports whether r replaces old. Both must describe the same instance.
func (r Record) Supersedes(old Record) bool {
	if r.incarnation != old.incarnation {
		return r.incarnation > old.incarnation
	}
	return r.state > old.state
}
