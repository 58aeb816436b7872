package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/io/process/gtcommand"
)

// commands holds every command; each file of this folder adds its own.
var commands gtcommand.List

// adminOption is the option of commands that ask a running node.
type adminOption struct {
	Admin string `help:"Admin address of a node." default:"127.0.0.1:7403" env:"GODWITTIDE_ADMIN" placeholder:"IP:PORT"`
}

// ask reads a page of the node's admin address.
func (o adminOption) ask(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.Admin+path, nil)
	if err != nil {
		return errorx.Decorate(err, "ask the node at %s", o.Admin)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errorx.Decorate(err, "ask the node at %s; is --admin right?", o.Admin)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return errorx.Decorate(err, "read the answer of the node at %s", o.Admin)
	}
	return nil
}
