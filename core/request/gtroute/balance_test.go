package gtroute

import "godwittide/core/process/gtmember"

// balanceList returns the choice by load among the instances in list.
func (rt *Router) balanceList(list []gtmember.Record, route string) candidate {
	var buf buffers
	var all refs
	for i := range list {
		all = append(all, &list[i])
	}
	buf.splitByZone(all, rt.Zone)
	return rt.balance(buf.local, buf.remote, route)
}
