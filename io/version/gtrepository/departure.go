package gtrepository

import (
	"context"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtshard"
	"godwittide/io/process/gtstore"
)

// departurePrefix returns the prefix of the departures of an instance's backend server.
func (r *Repository) departurePrefix(instance string) string { return r.key("departed", instance, "") }

// PutDeparture stores that a process with the given id of an instance's backend server
// announced its shutdown, as text. The key is deleted when the lease expires. Each id has
// a key of its own, so that a write that takes effect late replaces no other's.
func (r *Repository) PutDeparture(ctx context.Context, instance, id, text string, lease int64) error {
	key := r.departurePrefix(instance) + strconv.FormatUint(gtshard.Hash(id), 36)
	if _, err := r.Store.Txn(ctx, gtstore.NewTxn().PutLeased(key, []byte(text), lease)); err != nil {
		return errorx.Decorate(err, "write a departure to the store")
	}
	return nil
}

// Departures returns the texts of the stored departures of an instance.
func (r *Repository) Departures(ctx context.Context, instance string) ([]string, error) {
	prefix := r.departurePrefix(instance)
	resp, err := r.Store.Range(ctx, prefix, gtstore.PrefixEnd(prefix))
	if err != nil {
		return nil, errorx.Decorate(err, "read the departures from the store")
	}
	var texts []string
	for _, kv := range resp.KVs() {
		texts = append(texts, string(kv.Value()))
	}
	return texts, nil
}

// AllDepartures returns the texts of the stored departures of all instances, by instance.
func (r *Repository) AllDepartures(ctx context.Context) (map[string][]string, error) {
	prefix := r.key("departed", "")
	resp, err := r.Store.Range(ctx, prefix, gtstore.PrefixEnd(prefix))
	if err != nil {
		return nil, errorx.Decorate(err, "read all departures from the store")
	}
	out := map[string][]string{}
	for _, kv := range resp.KVs() {
		instance, _, _ := strings.Cut(strings.TrimPrefix(kv.Key(), prefix), "/")
		out[instance] = append(out[instance], string(kv.Value()))
	}
	return out, nil
}
