package edger

import (
	"context"
	"errors"
	"syscall"

	"go.uber.org/zap"

	"primroseseam.org/seam/conductor"
)

// startChecks starts the checks of endpoints that the model asks for.
func (e *Edge) startChecks() {
	e.mu.Lock()
	checks := e.model.TakeEndpointChecks()
	e.mu.Unlock()
	for _, c := range checks {
		go e.checkEndpoint(c)
	}
}

// checkEndpoint opens a connection to an endpoint and passes the result to the model. The
// connection is kept for requests.
func (e *Edge) checkEndpoint(c conductor.EndpointCheck) {
	err := e.exchanger.Connect(context.Background(), c.Address)
	e.metrics.endpointChecks.Inc()
	e.log.Info("endpoint: checked after a broken attempt", zap.String("endpoint", c.Endpoint), zap.NamedError("error", err))
	e.update(conductor.EndpointChecked{
		Endpoint: c.Endpoint, StartedAtMs: c.StartedAtMs, Unreachable: err != nil, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED),
	})
}
