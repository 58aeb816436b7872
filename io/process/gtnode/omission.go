package gtnode

import (
	"maps"
	"slices"
	"strings"

	"github.com/rs/zerolog"

	"godwittide/core/process/gtshard"
)

// omissions counts the outcomes that are not evidence about a version, by reason.
type omissions struct {
	counts gtshard.Map[uint64]
}

// add counts an outcome that is not evidence.
func (o *omissions) add(reason string) {
	o.counts.Do(reason, func(m map[string]uint64) { m[reason]++ })
}

// MarshalZerologObject adds the number of outcomes by reason to a log line.
func (o *omissions) MarshalZerologObject(e *zerolog.Event) {
	all := map[string]uint64{}
	o.counts.Each(func(m map[string]uint64) { maps.Copy(all, m) })
	for _, reason := range slices.Sorted(maps.Keys(all)) {
		e.Uint64(strings.ReplaceAll(reason, " ", "_"), all[reason])
	}
}

// countOmitted counts an outcome of the local backend server that is not counted as
// evidence, or whose latency isn't.
func (n *Node) countOmitted(reason string) {
	n.omissions.add(reason)
	n.scope.Tagged(map[string]string{"at": "backend", "reason": reason}).Counter("omitted").Inc(1)
}

// countOmittedAttempt counts an attempt of this node as a caller whose outcome is not
// counted as evidence.
func (n *Node) countOmittedAttempt(reason string) {
	n.omissions.add("attempt " + reason)
	n.scope.Tagged(map[string]string{"at": "edge", "reason": reason}).Counter("omitted").Inc(1)
}
