package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/io/process/gtcommand"
)

// commands lists every command; the init function of each file registers its
// own.
var commands gtcommand.List

// adminOption holds the flag of commands that query a running node.
type adminOption struct {
	Admin string `help:"Admin address of a node." default:"127.0.0.1:7403" env:"GODWITTIDE_ADMIN" placeholder:"IP:PORT"`
}

// getJSON fetches the page at path from the node's admin address and decodes it
// into out. It gives up after 10 s.
func (o adminOption) getJSON(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.Admin+path, nil)
	if err != nil {
		return errorx.Decorate(err, "create a request to the admin address %s", o.Admin)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errorx.Decorate(err, "query the node at admin address %s; check --admin", o.Admin)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return errorx.Decorate(err, "decode the response from admin address %s", o.Admin)
	}
	return nil
}
