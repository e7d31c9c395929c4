package generator

import (
	"fmt"
	"time"

	"primroseseam.org/seam/tracer"
)

// faultTime is the time from the start of a trace to the first fault of most scenarios.
const faultTime = 20 * time.Second

// buildListMorning raises the load of all teams in the second half of the trace, to
// nearly their rates.
func buildListMorning(b *traceBuilder) {
	half := b.duration / 2
	for i := range teamCount {
		b.addLoad(i, 0, half, busyFraction)
		b.addLoad(i, half, half, fullFraction)
	}
	b.limitRefusals(0)
	b.limitLatencies(0)
}

// buildDeadlineSurge makes one small team send several times its rate for a minute. The
// latencies of the other teams must stay within the same limits as without a surge.
func buildDeadlineSurge(b *traceBuilder) {
	const surge = 5
	for i := range teamCount - 1 {
		b.addLoad(i, 0, b.duration, busyFraction)
	}
	b.addLoad(teamCount-1, 0, faultTime, busyFraction)
	b.addLoad(teamCount-1, faultTime, minute, surge)
	for i := range teamCount - 1 {
		b.limitTeamLatencies(i)
	}
}

// buildGroupSessions makes a large team send many requests to one service at the
// same time, on top of a steady load.
func buildGroupSessions(b *traceBuilder) {
	b.addSteadyLoad(busyFraction / 2)
	const sessions = 60
	region := b.deployment.regions[0]
	for range sessions {
		b.at(faultTime, tracer.Request{Team: teamName(0), Service: b.deployment.services[0].name, Region: region})
	}
}

// buildInstanceCrash crashes one instance and doesn't start it again.
func buildInstanceCrash(b *traceBuilder) {
	for i := range teamCount {
		b.addLoad(i, 0, b.duration, busyFraction)
	}
	b.at(faultTime, tracer.InstanceCrashed{Instance: "seamd-2"})
	b.limitRefusals(faultTime + instanceRecovery)
	b.limitLatencies(0)
}

// buildRegionLost takes the last region down for a minute.
func buildRegionLost(b *traceBuilder) {
	for i := range teamCount {
		b.addLoad(i, 0, b.duration, busyFraction/2)
	}
	region := b.deployment.regions[len(b.deployment.regions)-1]
	b.at(faultTime, tracer.RegionChanged{Region: region, Lost: true})
	b.at(faultTime+minute, tracer.RegionChanged{Region: region})
	b.limitRefusals(faultTime + regionRecovery)
}

// buildStoreDownHour takes the store down at a low load, from one minute after the
// start to one minute before the end.
func buildStoreDownHour(b *traceBuilder) {
	const fraction = 0.05
	for i := range teamCount {
		b.addLoad(i, 0, b.duration, fraction)
	}
	b.at(minute, tracer.StoreChanged{Down: true})
	b.at(b.duration-minute, tracer.StoreChanged{})
	b.limitRefusals(0)
	b.limitLatencies(0)
}

// buildDomainDrain drains every endpoint of one failure domain at faultTime, and ends the
// drains at twice faultTime.
func buildDomainDrain(b *traceBuilder) {
	b.addSteadyLoad(busyFraction / 2)
	domain := domainName(b.deployment.regions[0], 0)
	b.eachEndpoint(domain, func(address string) {
		b.at(faultTime, tracer.UpstreamDrain{Endpoint: address, On: true})
		b.at(2*faultTime, tracer.UpstreamDrain{Endpoint: address})
	})
	b.limitDrain()
}

// buildColdCaches restarts every endpoint of one failure domain. After the restart these
// endpoints are slow for coldDuration.
func buildColdCaches(b *traceBuilder) {
	for i := range teamCount {
		b.addLoad(i, 0, b.duration, busyFraction/2)
	}
	b.eachEndpoint(domainName(b.deployment.regions[0], 1), func(address string) {
		b.at(faultTime, tracer.UpstreamChanged{Endpoint: address, Fault: tracer.UpstreamRestarted})
	})
	b.limitRefusals(faultTime + instanceRecovery)
	// A cold endpoint takes coldFactor times as long for a request. The limit is raised by
	// this additional time at the slowest service.
	b.limitLatencies(time.Duration((coldFactor - 1) * maxWorkFactor * float64(b.slowestWork())))
}

// buildSilentConnections makes one endpoint of each service accept requests without
// answering them. These endpoints restart later and then work normally.
func buildSilentConnections(b *traceBuilder) {
	for i := range teamCount {
		b.addLoad(i, 0, b.duration, busyFraction/2)
	}
	for i := range b.deployment.services {
		b.at(faultTime, tracer.UpstreamChanged{Endpoint: endpointAddress(i, 0), Fault: tracer.UpstreamSilent})
		b.at(2*faultTime, tracer.UpstreamChanged{Endpoint: endpointAddress(i, 0), Fault: tracer.UpstreamRestarted})
	}
	b.limitRefusals(faultTime + instanceRecovery)
}

// buildFailingUpstream makes one endpoint of each service run its requests but answer
// them with an error, until twice faultTime. Only requests that such an endpoint ran may
// fail.
func buildFailingUpstream(b *traceBuilder) {
	for i := range teamCount {
		b.addLoad(i, 0, b.duration, busyFraction/2)
	}
	for i := range b.deployment.services {
		b.at(faultTime, tracer.UpstreamChanged{Endpoint: endpointAddress(i, 0), Fault: tracer.UpstreamFailing})
		b.at(2*faultTime, tracer.UpstreamChanged{Endpoint: endpointAddress(i, 0), Fault: tracer.UpstreamHealthy})
	}
	b.limitRefusals(faultTime + instanceRecovery)
}

// buildKeyWithdrawn withdraws the key of one team under a steady load.
func buildKeyWithdrawn(b *traceBuilder) {
	b.addSteadyLoad(busyFraction / 2)
	b.at(faultTime, tracer.KeyWithdrawn{Key: teamName(1) + "-key"})
}

// buildRollingReplace changes the configuration, and then stops and starts every
// instance, one after the other.
func buildRollingReplace(b *traceBuilder) {
	for i := range teamCount {
		b.addLoad(i, 0, b.duration, busyFraction/2)
	}
	changed := b.deployment.document()
	changed.Defaults.Teams[0].Weight = 2
	b.at(faultTime/2, tracer.ConfigApplied{Config: changed})
	step := (b.duration - faultTime) / time.Duration(b.deployment.instances+1)
	for i := range b.deployment.instances {
		id := fmt.Sprintf("seamd-%d", i+1)
		at := faultTime + time.Duration(i)*step
		b.at(at, tracer.InstanceStopped{Instance: id})
		b.at(at+step*9/10, tracer.InstanceStarted{Instance: id})
	}
	b.limitRefusals(0)
	b.limitLatencies(0)
}

// buildRegionLostStoreDown takes the region in which the store runs down for a minute,
// and with it the store.
func buildRegionLostStoreDown(b *traceBuilder) {
	for i := range teamCount {
		b.addLoad(i, 0, b.duration, busyFraction/2)
	}
	region := b.deployment.network.StoreRegion
	b.at(faultTime, tracer.RegionChanged{Region: region, Lost: true})
	b.at(faultTime+minute, tracer.RegionChanged{Region: region})
	b.limitRefusals(faultTime + minute + regionRecovery)
}

// eachEndpoint calls visit with the address of every endpoint in a failure domain.
func (b *traceBuilder) eachEndpoint(domain string, visit func(address string)) {
	for _, svc := range b.deployment.document().Defaults.Services {
		for _, p := range svc.Endpoints {
			if p.FailureDomain == domain {
				visit(p.Address)
			}
		}
	}
}

// slowestWork returns the mean time that an endpoint of the slowest service takes for a
// request.
func (b *traceBuilder) slowestWork() time.Duration {
	slowest := time.Duration(0)
	for _, s := range b.deployment.services {
		slowest = max(slowest, s.work)
	}
	return slowest
}
