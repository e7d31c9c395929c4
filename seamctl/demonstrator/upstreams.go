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
	// coldFactor is how many times longer a request takes at an endpoint that has just
	// started (a cold endpoint). The factor falls to 1 within warmUpTime.
	coldFactor = 3
	// warmUpTime is the time after which an endpoint has its full speed (is warm).
	warmUpTime = 2 * time.Second
)

// endpoint is one upstream stand-in of the run, which belongs to one service.
type endpoint struct {
	service  string
	region   string
	address  string
	slots    int
	upstream *responder.FakeUpstream
	listener *disruptor.Listener
}

// startUpstreams starts the endpoints of all services. It returns their entries in the
// configuration, by the name of the service.
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
				FailureDomain: failureDomainName(e.region, n/len(d.shape.Regions)),
				Slots:         svc.Slots, MaxConnections: svc.ConnectionLimit,
			})
		}
	}
	return endpoints, nil
}

// startUpstream starts the endpoint with index n of a service and returns it.
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
		responder.WithReport(loadReportOf(n)),
		responder.WithColdStart(coldFactor, warmUpTime),
		responder.WithObserver(func(s responder.ObservedRequest) { d.checker.recordUpstreamRequest(e, s) }),
	)
	server := &http.Server{Handler: e.upstream, ReadHeaderTimeout: readyTimeout, ConnContext: responder.ConnContext}
	go func() { _ = server.Serve(e.listener) }()
	d.cleanups = append(d.cleanups, func() { _ = server.Close() })
	return e, nil
}

// loadReportOf returns how the endpoint with index n of a service reports its load in its
// responses. Half of the endpoints report an old or wrong load, which the instances have
// to tolerate.
func loadReportOf(n int) responder.Report {
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

// answerFaults are the faults that FaultAnswers injects. Each endpoint gets one of them.
var answerFaults = []responder.Fault{
	responder.FaultCrossed, responder.FaultLost, responder.FaultDuplicated,
	responder.FaultTruncated, responder.FaultLate, responder.FaultError,
}

// setAnswerFaults gives each endpoint one of answerFaults. The endpoint then injects this
// fault into each request with the given probability, 0 to 1. A probability of 0 ends the
// faults.
func (d *Demo) setAnswerFaults(chance float64) {
	for n, e := range d.endpoints {
		e.upstream.SetFault(answerFaults[n%len(answerFaults)], chance)
	}
}

// silenceConnections selects every third endpoint, starting with the endpoint at index
// offset. The open connections to these endpoints then drop all data without being closed.
// New connections work.
func (d *Demo) silenceConnections(offset int) {
	for n, e := range d.endpoints {
		if n%3 == offset {
			e.listener.SilenceOpen()
		}
	}
}
