package gtnode

import (
	"cmp"
	"net/http"
	"time"

	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtaccount"
	"godwittide/core/version/gtconfig"
)

// Where tells where a request would go, as returned by GET /where of the admin address. No
// request is sent. Refused is why this node would refuse it whatever its instance, if it
// would.
type Where struct {
	Route    string         `json:"route"`
	Class    string         `json:"class"`
	Account  string         `json:"account"`
	Zone     string         `json:"zone"`
	Config   int64          `json:"version"`
	TargetMS int64          `json:"targetMs"`
	Refused  *WhereRefused  `json:"refused,omitempty"`
	Services []WhereService `json:"services"`
}

// WhereRefused is the error that a request would end with.
type WhereRefused struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
}

// WhereService is a service that the route sends requests to. Share is its share of them, and
// By is what instances are compared by: load or estimate.
type WhereService struct {
	Service    string           `json:"service"`
	Share      float64          `json:"share"`
	By         string           `json:"by"`
	Refused    *WhereRefused    `json:"refused,omitempty"`
	Versions   []WhereVersion   `json:"versions"`
	Candidates []WhereCandidate `json:"candidates"`
	Gate       *WhereGate       `json:"gate,omitempty"`
}

// WhereVersion is a version with the share of the requests that are drawn for it. An empty
// one stands for any.
type WhereVersion struct {
	Version string  `json:"version"`
	Share   float64 `json:"share"`
}

// WhereCandidate is an instance of the service. Late is the estimated probability that a
// response is late, if the instance may get requests and a service time is known. Excluded is empty if nothing
// excludes it; speed and capacity are 0 if they have not been learned.
type WhereCandidate struct {
	Instance     string    `json:"instance"`
	Zone         string    `json:"zone"`
	Version      string    `json:"backend"`
	State        string    `json:"state"`
	Best         bool      `json:"best"`
	Local        bool      `json:"local"`
	RoundTripUS  int64     `json:"roundTripUs"`
	Busy         int       `json:"busy"`
	Limit        int       `json:"limit"`
	Speed        float64   `json:"speed"`
	Capacity     float64   `json:"capacity"`
	ServiceMS    int64     `json:"serviceMs"`
	ErrorRate    float64   `json:"errorRate"`
	Late         *float64  `json:"late,omitempty"`
	Excluded     string    `json:"excluded"`
	EjectedUntil time.Time `json:"ejectedUntil,omitzero"`
}

// WhereGate is what the admission gate of this node would do with the request if this node
// were chosen: run it, let it wait, or refuse it. WaitMS is the expected wait.
type WhereGate struct {
	Does    string        `json:"does"`
	WaitMS  int64         `json:"waitMs"`
	Refused *WhereRefused `json:"refused,omitempty"`
}

// newWhereRefused returns the description of an error, or nil.
func newWhereRefused(err error) *WhereRefused {
	if err == nil {
		return nil
	}
	return &WhereRefused{Kind: gtkind.Of(err).String(), Detail: gtkind.Detail(err)}
}

// serveWhere responds to GET /where.
func (n *Node) serveWhere(w http.ResponseWriter, r *http.Request) {
	v := r.URL.Query()
	writeJSON(w, n.Where(v.Get("host"), v.Get("path"), v.Get("method"), v.Get("account"), v.Get("zone")))
}

// Where returns where a request would go now. The method is GET if it is empty, and the zone
// that of this node. The account is the name of one; without it, a request that needs a key
// is refused. Nothing is sent, counted or drawn.
func (n *Node) Where(host, path, method, account, zone string) Where {
	snapshot := n.holder.Current()
	cfg := snapshot.Config()
	method, path = cmp.Or(method, http.MethodGet), cmp.Or(path, "/")
	known, _ := cfg.Accounts().Account(account) // a name that is none may be a key, and isn't repeated
	out := Where{Account: known.Name(), Zone: cmp.Or(zone, n.table.Self().Zone()), Config: snapshot.Snapshot().Version(), Services: []WhereService{}}
	route, ok := cfg.Match(method, host, path)
	if !ok {
		out.Refused = newWhereRefused(gtkind.New(gtkind.NoRoute, "no route matches %s %.100s", method, path))
		return out
	}
	found, err := n.whereAccount(cfg, route, account)
	class := route.ClassFor(found)
	out.Route, out.Class, out.TargetMS, out.Refused = route.Name(), class.String(), route.Target().Milliseconds(), newWhereRefused(err)
	total := 0.0
	for _, d := range route.Destinations() {
		total += d.Weight()
	}
	for _, d := range route.Destinations() {
		s := n.whereService(cfg, route, d.Service(), out.Zone)
		if total > 0 {
			s.Share = d.Weight() / total
		}
		if n.table.Self().Service() == d.Service() {
			service, _ := cfg.Service(d.Service())
			now := n.timer.Time()
			call := gtcall.New("", method, path).WithRoute(d.Service(), route.Name(), class).
				WithDueAt(route.DueAt(now)).WithDeadline(now.Add(cmp.Or(route.Timeout(), service.Timeout())))
			s.Gate = n.whereGate(class, call)
		}
		out.Services = append(out.Services, s)
	}
	return out
}

// whereAccount returns the account with the given name. The error is that of a request on
// the route without a valid key if there is none, or if keys can't be judged.
func (n *Node) whereAccount(cfg *gtconfig.Config, route gtconfig.Route, name string) (gtaccount.Account, error) {
	if cfg.Accounts().Len() == 0 || route.IsOpen() {
		return gtaccount.Account{}, nil
	}
	if name == "" {
		return gtaccount.Account{}, gtkind.New(gtkind.Unauthenticated, "the route needs an account's key, and no account was given")
	}
	account, ok := cfg.Accounts().Account(name)
	if !ok {
		return account, gtkind.New(gtkind.Unauthenticated, "there is no such account")
	}
	if !n.isCurrent() {
		return account, gtkind.New(gtkind.NoConfig, "this node can't tell whether its configuration is current")
	}
	return account, nil
}

// whereService returns the candidates of a service.
func (n *Node) whereService(cfg *gtconfig.Config, route gtconfig.Route, service, zone string) WhereService {
	q := gtroute.NewQuery(service).WithRoute(route.Name()).WithTarget(route.Target())
	x, err := n.router.Explain(cfg, q, zone)
	s := WhereService{Service: service, By: "load", Refused: newWhereRefused(err), Versions: []WhereVersion{}, Candidates: []WhereCandidate{}}
	if x.IsByEstimate() {
		s.By = "estimate"
	}
	for _, v := range x.Versions() {
		s.Versions = append(s.Versions, WhereVersion{Version: v.Version(), Share: v.Share()})
	}
	for _, o := range x.Options() {
		r := o.Record()
		c := WhereCandidate{
			Instance: r.Instance(), Zone: r.Zone(), Version: r.Version(), State: r.State().String(),
			Best: o.IsBest(), Local: o.IsLocal(), RoundTripUS: o.RoundTrip().Microseconds(), Busy: o.Busy(), Limit: o.Limit(),
			Speed: o.Capacity().Speed(), Capacity: o.Capacity().Concurrency(), ServiceMS: o.ServiceTime().Milliseconds(),
			ErrorRate: o.ErrorRate(), Excluded: string(o.Exclusion()), EjectedUntil: o.EjectedUntil(),
		}
		if late, ok := o.Late(); ok {
			c.Late = &late
		}
		s.Candidates = append(s.Candidates, c)
	}
	return s
}

// whereGate returns what this node would do with a call to its backend server.
func (n *Node) whereGate(class gtconfig.Class, c gtcall.Call) *WhereGate {
	if err := n.mayRun(c); err != nil {
		return &WhereGate{Does: "refuse", Refused: newWhereRefused(err)}
	}
	runs, wait, err := n.gate.Outlook(class, c.DueAt(), c.Deadline())
	g := &WhereGate{Does: "wait", WaitMS: wait.Milliseconds(), Refused: newWhereRefused(err)}
	switch {
	case err != nil:
		g.Does = "refuse"
	case runs:
		g.Does = "run"
	}
	return g
}
