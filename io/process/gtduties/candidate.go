package gtduties

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtduty"
	"godwittide/io/process/gtstore"
)

// holderRecord is the value of the duty's key. ID tells two attempts to take the duty
// apart, so that a candidate that lost the response recognizes its own write.
type holderRecord struct {
	Holder string `json:"holder"`
	ID     string `json:"id"`
}

// dutyPrefix returns the prefix of the duties' keys.
func (d *Duties) dutyPrefix() string { return d.Prefix + "duty/" }

// dutyKey returns the key that exists while a node holds the duty.
func (d *Duties) dutyKey() string { return d.dutyPrefix() + "usage" }

// runCandidate takes the duty when it has no holder and this node is a candidate, until
// ctx ends.
func (d *Duties) runCandidate(ctx context.Context) {
	ticker := d.Timer.Every(gtduty.PollPeriod, 0)
	defer ticker.Stop()
	absences := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		}
		rank := d.rank()
		if rank < 0 || !d.MayTake() || !d.HasAccounts() {
			absences = 0
			d.setReadHolder("")
			continue
		}
		holder, err := d.readOutdated(ctx)
		switch {
		case err != nil:
			absences = 0
			d.Log.Debug().Err(err).Msg("duty: reading the holder failed")
			continue
		case holder != "":
			absences = 0
			d.setReadHolder(holder)
			continue
		}
		absences++
		if !gtduty.ShouldTake(rank, absences) {
			continue
		}
		if h := d.take(ctx); h != nil {
			d.hold(ctx, h)
			absences = 0
		}
	}
}

func (d *Duties) setReadHolder(holder string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readHolder = holder
}

// readOutdated returns the holder, which may have been that of some seconds ago, or "".
func (d *Duties) readOutdated(ctx context.Context) (string, error) {
	resp, err := d.Store.ReadOutdated(ctx, d.dutyPrefix(), gtstore.PrefixEnd(d.dutyPrefix()))
	if err != nil {
		return "", err
	}
	kv, ok := resp.Get(d.dutyKey())
	if !ok {
		return "", nil
	}
	var r holderRecord
	if err := json.Unmarshal(kv.Value(), &r); err != nil || r.Holder == "" {
		return "", errorx.IllegalFormat.New("the record of the duty's holder can't be used")
	}
	return r.Holder, nil
}

// holding is the duty as this node has taken it.
type holding struct {
	tenure *gtduty.Tenure
	lease  int64
	sent   time.Duration
}

// take tries to take the duty. It returns nil if the duty has a holder or the store
// can't tell.
func (d *Duties) take(ctx context.Context) *holding {
	ctx, cancel := context.WithTimeout(ctx, d.Terms.Lease())
	defer cancel()
	sent := d.Uptime()
	lease, err := d.Store.Grant(ctx, d.Terms.Lease())
	if err != nil {
		d.Log.Debug().Err(err).Msg("duty: getting a lease failed")
		return nil
	}
	id := strconv.FormatInt(d.Start, 36) + "-" + strconv.FormatUint(rand.Uint64(), 36)
	value, err := json.Marshal(holderRecord{Holder: d.Self, ID: id})
	if err != nil {
		return nil
	}
	token := int64(0)
	result, err := d.Store.Txn(ctx, gtstore.NewTxn().IfRev(d.dutyKey(), 0).PutLeased(d.dutyKey(), value, lease))
	switch {
	case err != nil:
		token = d.findOwnWrite(ctx, value)
	case result.Succeeded():
		token = result.Rev()
	}
	if token == 0 {
		return nil
	}
	return &holding{tenure: gtduty.Begin(d.Terms, token, sent, d.Uptime()), lease: lease, sent: sent}
}

// findOwnWrite returns the revision of the duty's key if it has the given value, as when
// the response to its write was lost, and 0 otherwise.
func (d *Duties) findOwnWrite(ctx context.Context, value []byte) int64 {
	resp, err := d.Store.Range(ctx, d.dutyKey(), "")
	if err != nil {
		return 0
	}
	if kv, ok := resp.Get(d.dutyKey()); ok && bytes.Equal(kv.Value(), value) {
		return kv.Rev()
	}
	return 0
}
