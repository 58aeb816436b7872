package gtnode

import (
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/core/connection/gtliveness"
	"godwittide/core/process/gtshard"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
)

const (
	// requestLinesPerSecond is the maximum number of log lines of one kind about
	// single requests.
	requestLinesPerSecond = 20
	// sampleRatio is the number of successful requests for each one that is logged.
	// All nodes on a request's path sample the same requests.
	sampleRatio = 256
)

// isSampled reports whether a request is logged even if it succeeds. The choice
// depends only on its ID.
func isSampled(c gtcall.Call) bool { return gtshard.Hash("log", c.ID())%sampleRatio == 0 }

// requestLine starts a log line about a request. It returns nil if the request
// succeeded and is not sampled.
func (n *Node) requestLine(prefix string, c gtcall.Call, err error, succeeded bool) *zerolog.Event {
	if succeeded && !isSampled(c) {
		return nil
	}
	k := gtkind.Of(err)
	e := n.requestLog.Line(prefix+k.String()).Str("request", c.ID()).Str("service", c.Service()).Str("route", c.Route())
	if c.Account() != "" {
		e = e.Str("account", c.Account())
	}
	if err != nil {
		e = e.Str("certainty", k.Row().Certainty().String()).Str("why", gtkind.Detail(err))
	}
	if k == gtkind.ConnectionLost || k == gtkind.Overflowed {
		e = e.Str("error", rootCause(err).Error())
	}
	return e
}

// rootCause returns the innermost error that err wraps.
func rootCause(err error) error {
	for {
		cause := errors.Unwrap(err)
		if e := errorx.Cast(err); e != nil {
			cause = e.Cause()
		}
		if cause == nil {
			return err
		}
		err = cause
	}
}

const (
	endedByStop     = "stop"     // this node closed the connection at the end of its stop
	endedByDeadline = "deadline" // the request's deadline passed
	endedBySender   = "sender"   // the caller or peer closed the connection
)

// withCircumstances adds to a line about a request that may have run but has no response
// what tells the causes apart: the remaining time, whether this process was paused or got
// no processor time while it waited, and who ended a canceled request.
func (n *Node) withCircumstances(e *zerolog.Event, c gtcall.Call, err error, d time.Duration) *zerolog.Event {
	k := gtkind.Of(err)
	if err == nil || k.Row().Certainty() != gtkind.Unknown || c.ID() == "" {
		return e
	}
	now := n.timer.Time()
	e = e.Int64("left", c.Deadline().Sub(now).Milliseconds()).Bool("paused", n.timer.PausedSince(now.Add(-d)))
	if k == gtkind.Canceled {
		e = e.Str("ended", n.canceledBy(c, now))
	}
	return e
}

// canceledBy returns who ended a call that was canceled.
func (n *Node) canceledBy(c gtcall.Call, now time.Time) string {
	switch {
	case !now.Before(c.Deadline()):
		return endedByDeadline
	case n.servers.closed.Load():
		return endedByStop
	default:
		return endedBySender
	}
}

// logResponse logs a response to a caller, with the active version of the
// configuration and the time since its activation.
func (n *Node) logResponse(c gtcall.Call, err error, d time.Duration) {
	e := n.requestLine("answer ", c, err, err == nil)
	if e == nil {
		return
	}
	current := n.holder.Current()
	n.withCircumstances(e, c, err, d).Int64("ms", d.Milliseconds()).Int64("version", current.Snapshot().Version()).
		Int64("age", n.timer.Time().Sub(current.ActivatedAt()).Milliseconds()).Msg("request: answered")
}

// logRetry logs a failed attempt at an instance that is followed by another one.
func (n *Node) logRetry(c gtcall.Call, instance string, err error, count int) {
	e := n.requestLine("retry ", c, err, false)
	if e == nil {
		return
	}
	now := n.timer.Time()
	e.Str("instance", instance).Int("attempt", count).Int64("left", c.Deadline().Sub(now).Milliseconds()).
		Bool("paused", n.timer.PausedSince(now.Add(-gtliveness.KeepAliveTimeout))).Msg("request: tried again")
}

// logBackendCall logs the outcome of a call at the local backend server, with the
// load of the admission gate.
func (n *Node) logBackendCall(c gtcall.Call, status int, err error, d time.Duration) {
	e := n.requestLine("run ", c, err, err == nil && status < http.StatusInternalServerError)
	if e == nil {
		return
	}
	load := n.gate.Load(c.Route())
	n.withCircumstances(e, c, err, d).Int("status", status).Int64("ms", d.Milliseconds()).Int("busy", load.Busy()).Int("limit", load.Limit()).
		Int64("pace", load.ServiceTime().Milliseconds()).Str("backend", n.table.Self().Version()).
		Stringer("state", n.backend.currentState()).Msg("request: came to its server")
}
