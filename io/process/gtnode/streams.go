package gtnode

import (
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtstream"
)

// recordStreamed counts a request whose body was forwarded in windows. A body that this node
// cut off is logged, one line a second for each cause.
func (n *Node) recordStreamed(c gtcall.Call, cause gtstream.Cause) {
	n.scope.Counter("bodies_streamed").Inc(1)
	if cause == gtstream.None {
		return
	}
	n.scope.Tagged(map[string]string{"cause": cause.Name()}).Counter("bodies_cut").Inc(1)
	if cause == gtstream.SenderLeft {
		return
	}
	n.streamLog.Line("body cut "+cause.Name()).Str("request", c.ID()).Str("service", c.Service()).Str("route", c.Route()).Str("reason", cause.Name()).Msg("request: body cut off")
}
