package gtnode

import (
	"context"
	"math/rand/v2"

	"godwittide/core/process/gtjoin"
)

// bootstrap waits for peers and a configuration, and then looks for what is missing
// in the store. It reports whether no peer has answered.
func (n *Node) bootstrap(ctx context.Context) bool {
	if n.timer.Sleep(ctx, gtjoin.LoadDelay(rand.Float64())) != nil {
		return false
	}
	if n.ActiveVersion().Version() == 0 {
		n.loadConfig(ctx)
	}
	// Peers that start at the same time may not have been listening before.
	if n.overlay.CountLinks() == 0 {
		n.overlay.JoinKnown(ctx)
	}
	delay := gtjoin.Delay(rand.Float64())
	if n.WatchConfig == nil {
		// Peers may have a newer version than the store, which a watcher would accept
		// or restore there.
		delay += watchStartDelay
	}
	if n.timer.Sleep(ctx, delay) != nil {
		return false
	}
	joined, err := n.join(ctx)
	if err != nil {
		n.Log.Debug().Err(err).Msg("watch: reading contacts from the store failed")
		return false
	}
	switch gtjoin.Decide(gtjoin.NewView(joined, n.ActiveVersion().Version() > 0)) {
	case gtjoin.Claim:
		n.Log.Info().Msg("watch: no peer has answered; this node watches the store until one does")
		return true
	case gtjoin.Load:
		n.loadConfig(ctx)
	case gtjoin.Nothing:
	}
	return false
}

// join reports whether the node is linked to a peer, or one of the members that peers named
// or of the contacts in the store has answered. It fails if the contacts can't be read.
func (n *Node) join(ctx context.Context) (bool, error) {
	if n.overlay.CountLinks() > 0 || n.overlay.JoinMembers(ctx) {
		return true, nil
	}
	if n.configStore == nil {
		return false, nil
	}
	for _, read := range []func(context.Context) ([]string, error){n.configStore.OutdatedContacts, n.configStore.Contacts} {
		contacts, err := read(ctx)
		if err != nil {
			return false, err
		}
		if n.overlay.Join(ctx, contacts) {
			return true, nil
		}
	}
	return false, nil
}

// loadConfig reads the configuration from the store once, if the node can.
func (n *Node) loadConfig(ctx context.Context) {
	if n.LoadConfig == nil {
		return
	}
	if err := n.LoadConfig(ctx); err != nil {
		n.Log.Debug().Err(err).Msg("watch: reading the configuration from the store failed")
	}
}
