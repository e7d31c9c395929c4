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

// WithPeerClient sets the client and the URL scheme, http or https, with which
// Offer sends objects to instances. The client must authenticate as a peer in the
// way that the settings of the instances require.
func WithPeerClient(c *http.Client, scheme string) AwaiterOption {
	return func(w *Awaiter) { w.peerClient, w.peerScheme = c, scheme }
}

// Offer sends an accepted object directly to the instances on the list that
// LoadInstances read. These instances then apply the object even if the store fails
// right after it accepted the object. Offer returns the number of instances that
// received the object. All other instances get it from the store or their peers.
// Without a peer client, Offer returns 0.
func (w *Awaiter) Offer(ctx context.Context, o storer.Object) int {
	if w.peerClient == nil {
		return 0
	}
	request := &peerv1.OfferRequest{Objects: []*peerv1.StoredObject{{
		Kind: string(o.Kind), Name: o.Name, Version: o.Version, Value: o.Value,
	}}}
	deliveries := make(chan bool, len(w.instances))
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for _, i := range w.instances {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			client := peerv1connect.NewRelayServiceClient(w.peerClient, w.peerScheme+"://"+i.PeerAddress)
			if _, err := client.Offer(ctx, connect.NewRequest(request)); err == nil {
				deliveries <- true
			}
			return nil
		})
	}
	_ = group.Wait()
	return len(deliveries)
}

// LoadInstances reads the list of live instances. Call it before a change, so that
// Offer and the waits have the list even if the store fails afterwards.
func (w *Awaiter) LoadInstances(ctx context.Context) error {
	list, err := w.store.Instances(ctx)
	if err == nil {
		w.instances = liveInstances(list)
	}
	return err
}
