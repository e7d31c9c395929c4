package demonstrator

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"primroseseam.org/seam/configurer"
	"primroseseam.org/standin/disruptor"
	"primroseseam.org/standin/responder"
)

const (
	// coldFactor is how much longer requests take at a cold endpoint.
	coldFactor = 3
	// warming is how long a cold endpoint takes until it is warm.
	warming = 2 * time.Second
)

// endpoint is an upstream stand-in of the run.
type endpoint struct {
	service  string
	region   string
	address  string
	slots    int
	upstream *responder.FakeUpstream
	listener *disruptor.Listener
}

// startUpstreams starts the endpoints of all services.
func (d *Demo) startUpstreams() (map[string][]configurer.Endpoint, error) {
	endpoints := map[string][]configurer.Endpoint{}
	for _, svc := range d.shape.Services {
		for n := range svc.Endpoints {
			e, err := d.startUpstream(svc, n)
			if err != nil {
				return nil, err
			}
			d.endpoints = append(d.endpoints, e)
			endpoints[svc.Name] = append(endpoints[svc.Name], configurer.Endpoint{
				Address: e.address, Region: e.region,
				FailureDomain: domainName(e.region, n/len(d.shape.Regions)),
				Slots:         svc.Slots, MaxConnections: svc.Conns,
			})
		}
	}
	return endpoints, nil
}

func (d *Demo) startUpstream(svc ServiceShape, n int) (*endpoint, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	e := &endpoint{
		service: svc.Name, region: d.shape.Regions[n%len(d.shape.Regions)],
		address: l.Addr().String(), slots: svc.Slots, listener: disruptor.NewListener(l),
	}
	e.upstream = responder.New(
		responder.WithSlots(svc.Slots),
		responder.WithWork(svc.Work),
		responder.WithSeed(d.seed+uint64(n)),
		responder.WithReport(reportOf(n)),
		responder.WithColdStart(coldFactor, warming),
		responder.WithObserver(func(s responder.ObservedRequest) { d.checker.upstreamSaw(e, s) }),
	)
	server := &http.Server{Handler: e.upstream, ReadHeaderTimeout: readyTimeout, ConnContext: responder.ConnContext}
	go func() { _ = server.Serve(e.listener) }()
	d.cleanups = append(d.cleanups, func() { _ = server.Close() })
	return e, nil
}

// reportOf makes some endpoints report a wrong load.
func reportOf(n int) responder.Report {
	switch n % 6 {
	case 1:
		return responder.ReportLagging
	case 3:
		return responder.ReportZero
	case 5:
		return responder.ReportFull
	}
	return responder.ReportHonest
}

// answerFaults are the ways in which answers fail during FaultAnswers.
var answerFaults = []responder.Fault{
	responder.FaultCrossed, responder.FaultLost, responder.FaultDuplicated,
	responder.FaultTruncated, responder.FaultLate, responder.FaultError,
}

// setAnswerFaults gives each endpoint a part of answers that fail in one way.
func (d *Demo) setAnswerFaults(chance float64) {
	for n, e := range d.endpoints {
		e.upstream.SetFault(answerFaults[n%len(answerFaults)], chance)
	}
}

// silenceConnections silences what is open at every third endpoint.
func (d *Demo) silenceConnections(offset int) {
	for n, e := range d.endpoints {
		if n%3 == offset {
			e.listener.SilenceOpen()
		}
	}
}
