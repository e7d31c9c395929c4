package applier

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	peerv1 "primroseseam.org/seam/gen/peer/v1"
	"primroseseam.org/seam/gen/peer/v1/peerv1connect"
	"primroseseam.org/seam/storer"
)

// WithPeerClient offers accepted objects to instances with a client that
// proves itself as their settings ask for. The scheme is http or https.
func WithPeerClient(c *http.Client, scheme string) AwaiterOption {
	return func(w *Awaiter) { w.peerClient, w.peerScheme = c, scheme }
}

// Offer shows an accepted object to every instance at once, so that it is in
// force also if the store stops answering right after it accepted. It returns
// the number of instances that have seen it; the others get it as usual.
func (w *Awaiter) Offer(ctx context.Context, o storer.Object) int {
	if w.peerClient == nil {
		return 0
	}
	request := &peerv1.OfferRequest{Objects: []*peerv1.StoredObject{{
		Kind: string(o.Kind), Name: o.Name, Version: o.Version, Value: o.Value,
	}}}
	seen := make(chan bool, len(w.known))
	var group errgroup.Group
	group.SetLimit(pagesAtOnce)
	for _, i := range w.known {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, pageTimeout)
			defer cancel()
			client := peerv1connect.NewRelayServiceClient(w.peerClient, w.peerScheme+"://"+i.PeerAddress)
			if _, err := client.Offer(ctx, connect.NewRequest(request)); err == nil {
				seen <- true
			}
			return nil
		})
	}
	_ = group.Wait()
	return len(seen)
}

// LoadInstances reads the list of instances before a change, so that its spread can
// be followed also if the store stops answering.
func (w *Awaiter) LoadInstances(ctx context.Context) error {
	list, err := w.store.Instances(ctx)
	if err == nil {
		w.known = serving(list)
	}
	return err
}
