package gtduties

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// defaultHolderField and defaultTokenField are the header fields of a report in this
	// mesh's own interface.
	defaultHolderField = "Gt-Duty-Holder"
	defaultTokenField  = "Gt-Fencing-Token"
	// maxResponseBytes bounds the body of a response of the duty address.
	maxResponseBytes = 64 << 10
)

// Client sends reports to the duty address. Its exported fields are set before Init.
type Client struct {
	// Address is the duty address, an IP and a port.
	Address string
	// Holder is the name of this node.
	Holder string
	// HolderField and TokenField are the header fields with the holder and the fencing
	// token; "" means those of the own interface.
	HolderField, TokenField string
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	client *http.Client
}

// reportMessage is the body of a report.
type reportMessage struct {
	Window int64          `json:"windowId"`
	Counts map[string]int `json:"counts"`
}

// Init prepares the client.
func (c *Client) Init() {
	if c.HolderField == "" {
		c.HolderField, c.TokenField = defaultHolderField, defaultTokenField
	}
	dial := c.Dial
	if dial == nil {
		dialer := &net.Dialer{Timeout: time.Second}
		dial = func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
	}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) },
		MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: maxResponseBytes,
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Report sends a report. It returns ErrFenced if a higher token was seen.
func (c *Client) Report(ctx context.Context, r Report) error {
	body, err := json.Marshal(reportMessage{r.Window(), r.Counts()})
	if err != nil {
		return errorx.Decorate(err, "encode a report")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/usage-reports", bytes.NewReader(body))
	if err != nil {
		return errorx.Decorate(err, "create a report")
	}
	// Without GetBody the transport can't send a report again on its own.
	req.GetBody = nil
	req.Header.Set(c.HolderField, c.Holder)
	req.Header.Set(c.TokenField, strconv.FormatInt(r.Token(), 10))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return errorx.Decorate(err, "send a report")
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrFenced
	default:
		return errorx.RejectedOperation.New("duty address responded with status %d", resp.StatusCode)
	}
}
