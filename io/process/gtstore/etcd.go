package gtstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Messages of the etcd v3 JSON gateway, as published in its API reference. Keys
// and values are base64, 64-bit numbers are strings.
type (
	// EtcdKV is a key with its value, revisions and lease.
	EtcdKV struct {
		Key            []byte `json:"key,omitempty"`
		Value          []byte `json:"value,omitempty"`
		CreateRevision int64  `json:"create_revision,string,omitempty"`
		ModRevision    int64  `json:"mod_revision,string,omitempty"`
		Lease          int64  `json:"lease,string,omitempty"`
	}
	// EtcdHeader is part of every response and holds the revision of the store.
	EtcdHeader struct {
		Revision int64 `json:"revision,string,omitempty"`
	}
	// EtcdRange is the request body of /v3/kv/range, and a deletion in a transaction.
	EtcdRange struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}
	// EtcdRangeResponse is the response body of /v3/kv/range.
	EtcdRangeResponse struct {
		Header EtcdHeader `json:"header"`
		KVs    []EtcdKV   `json:"kvs,omitempty"`
	}
	// EtcdCompare is one condition of a transaction.
	EtcdCompare struct {
		Key         []byte `json:"key"`
		Result      string `json:"result"`
		Target      string `json:"target"`
		ModRevision int64  `json:"mod_revision,string"`
	}
	// EtcdPut is a write of one key.
	EtcdPut struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value,omitempty"`
		Lease int64  `json:"lease,string,omitempty"`
	}
	// EtcdOp is one operation of a transaction: either a write or a deletion.
	EtcdOp struct {
		Put    *EtcdPut   `json:"request_put,omitempty"`
		Delete *EtcdRange `json:"request_delete_range,omitempty"`
	}
	// EtcdTxnRequest is the request body of /v3/kv/txn.
	EtcdTxnRequest struct {
		Compare []EtcdCompare `json:"compare,omitempty"`
		Success []EtcdOp      `json:"success,omitempty"`
	}
	// EtcdTxnResponse is the response body of /v3/kv/txn.
	EtcdTxnResponse struct {
		Header    EtcdHeader `json:"header"`
		Succeeded bool       `json:"succeeded,omitempty"`
	}
	// EtcdLease is the request body of the lease calls, and the response body of
	// /v3/lease/grant.
	EtcdLease struct {
		ID  int64 `json:"ID,string,omitempty"`
		TTL int64 `json:"TTL,string,omitempty"`
	}
	// EtcdKeepAliveResponse is the response body of /v3/lease/keepalive.
	EtcdKeepAliveResponse struct {
		Result EtcdLease `json:"result"`
	}
	// EtcdWatchRequest is the request body of /v3/watch.
	EtcdWatchRequest struct {
		Create EtcdWatchCreate `json:"create_request"`
	}
	// EtcdWatchCreate creates a watch of a range of keys from a revision on.
	EtcdWatchCreate struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end,omitempty"`
		StartRevision int64  `json:"start_revision,string,omitempty"`
	}
	// EtcdEvent is one change of a key.
	EtcdEvent struct {
		Type string `json:"type,omitempty"`
		KV   EtcdKV `json:"kv"`
	}
	// EtcdWatchResponse is one message of the response stream of /v3/watch.
	EtcdWatchResponse struct {
		Result struct {
			Header   EtcdHeader  `json:"header"`
			Created  bool        `json:"created,omitempty"`
			Canceled bool        `json:"canceled,omitempty"`
			Events   []EtcdEvent `json:"events,omitempty"`
		} `json:"result"`
	}
)

const (
	// callTimeout bounds each call except a watch.
	callTimeout = 3 * time.Second
	// maxResponseSize is the maximum size of a response, or of a message of a watch, in
	// bytes.
	maxResponseSize = 16 << 20
	// maxResponseHeadSize is the maximum size of the head of a response in bytes.
	maxResponseHeadSize = 64 << 10
	// watchIdleTimeout is the time without a message after which a watch fails, also
	// one without changes: it can't be told from one whose connection is dead. The
	// caller opens a new watch.
	watchIdleTimeout = 20 * time.Second
)

// NewClient returns an HTTP client that calls the store over TCP.
func NewClient() *http.Client {
	dialer := net.Dialer{Timeout: time.Second}
	return NewClientWithDial(func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) })
}

// NewClientWithDial returns an HTTP client that opens its connections with dial.
func NewClientWithDial(dial func(ctx context.Context, addr string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) },
		MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second,
		ResponseHeaderTimeout: callTimeout, MaxResponseHeaderBytes: maxResponseHeadSize,
	}}
}

// NewEtcd returns a client of the etcd v3 JSON gateway at the endpoint.
func NewEtcd(endpoint string, client *http.Client) *Store {
	c := &etcdClient{endpoint: strings.TrimSuffix(endpoint, "/"), client: client}
	return &Store{Range: c.rangeKeys, Txn: c.txn, Grant: c.grant, KeepAlive: c.keepAlive, Watch: c.watch}
}

type etcdClient struct {
	endpoint string
	client   *http.Client
}

func (c *etcdClient) call(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.post(ctx, path, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseSize)).Decode(out); err != nil {
		return errorx.Decorate(err, "decode the store's response to %s", path)
	}
	return nil
}

func (c *etcdClient) post(ctx context.Context, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errorx.Decorate(err, "encode the request to %s", path)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, errorx.Decorate(err, "create the request to the store")
	}
	r.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport can't resend a write whose response was lost.
	r.GetBody = nil
	resp, err := c.client.Do(r)
	if err != nil {
		return nil, errorx.Decorate(err, "call the store")
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		resp.Body.Close()
		return nil, errorx.ExternalError.New("store responded %s to %s: %s", resp.Status, path, bytes.TrimSpace(text))
	}
	return resp, nil
}

func (c *etcdClient) rangeKeys(ctx context.Context, key, end string) (RangeResponse, error) {
	var out EtcdRangeResponse
	if err := c.call(ctx, "/v3/kv/range", EtcdRange{Key: []byte(key), RangeEnd: []byte(end)}, &out); err != nil {
		return RangeResponse{}, err
	}
	kvs := make([]KV, 0, len(out.KVs))
	for _, kv := range out.KVs {
		kvs = append(kvs, NewKV(string(kv.Key), kv.Value, kv.ModRevision))
	}
	return NewRangeResponse(out.Header.Revision, kvs), nil
}

func (c *etcdClient) txn(ctx context.Context, t *Txn) (TxnResult, error) {
	var in EtcdTxnRequest
	for _, cmp := range t.compares {
		in.Compare = append(in.Compare, EtcdCompare{Key: []byte(cmp.key), Result: "EQUAL", Target: "MOD", ModRevision: cmp.rev})
	}
	for _, op := range t.ops {
		in.Success = append(in.Success, encodeOp(op))
	}
	var out EtcdTxnResponse
	if err := c.call(ctx, "/v3/kv/txn", in, &out); err != nil {
		return TxnResult{}, err
	}
	return NewTxnResult(out.Succeeded, out.Header.Revision), nil
}

func encodeOp(op Op) EtcdOp {
	if op.delete {
		return EtcdOp{Delete: &EtcdRange{Key: []byte(op.key), RangeEnd: []byte(op.end)}}
	}
	return EtcdOp{Put: &EtcdPut{Key: []byte(op.key), Value: op.value, Lease: op.lease}}
}

// grant creates a lease. The ttl is truncated to seconds, the unit of the protocol.
func (c *etcdClient) grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var out EtcdLease
	if err := c.call(ctx, "/v3/lease/grant", EtcdLease{TTL: int64(ttl / time.Second)}, &out); err != nil {
		return 0, err
	}
	return out.ID, nil
}

func (c *etcdClient) keepAlive(ctx context.Context, lease int64) error {
	var out EtcdKeepAliveResponse
	if err := c.call(ctx, "/v3/lease/keepalive", EtcdLease{ID: lease}, &out); err != nil {
		return err
	}
	if out.Result.TTL <= 0 {
		return errorx.IllegalState.New("lease %d has expired", lease)
	}
	return nil
}

func (c *etcdClient) watch(ctx context.Context, key, end string, after int64, fn func([]KV)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in := EtcdWatchRequest{Create: EtcdWatchCreate{Key: []byte(key), RangeEnd: []byte(end), StartRevision: after + 1}}
	idleTimer := time.AfterFunc(watchIdleTimeout, cancel)
	defer idleTimer.Stop()
	resp, err := c.post(ctx, "/v3/watch", in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := &io.LimitedReader{R: resp.Body}
	d := json.NewDecoder(body)
	for {
		body.N = maxResponseSize // for each message
		var out EtcdWatchResponse
		if err := d.Decode(&out); err != nil {
			return errorx.Decorate(err, "read the store's watch stream")
		}
		idleTimer.Reset(watchIdleTimeout)
		if out.Result.Canceled {
			return errors.New("store canceled the watch")
		}
		if kvs := decodeEvents(out.Result.Events); len(kvs) > 0 {
			fn(kvs)
		}
	}
}

func decodeEvents(events []EtcdEvent) []KV {
	kvs := make([]KV, 0, len(events))
	for _, e := range events {
		if e.Type == "DELETE" {
			kvs = append(kvs, NewDeletion(string(e.KV.Key), e.KV.ModRevision))
		} else {
			kvs = append(kvs, NewKV(string(e.KV.Key), e.KV.Value, e.KV.ModRevision))
		}
	}
	return kvs
}
