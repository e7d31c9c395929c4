package gossiper

import (
	"time"

	peerv1 "primroseseam.org/seam/gen/peer/v1"
)

// Proto returns the heartbeat as it is sent.
func (h Heartbeat) Proto() *peerv1.Heartbeat {
	p := &peerv1.Heartbeat{
		Sender: memberProto(h.Sender), Load: loadProto(h.Load),
		Reach: h.Reach, Reached: h.Reached, Introduce: h.Introduce, Join: h.Join,
	}
	for _, w := range h.Words {
		p.Words = append(p.Words, memberProto(w))
	}
	for _, l := range h.Loads {
		p.Loads = append(p.Loads, &peerv1.MemberLoad{
			Id: l.ID, Incarnation: l.Incarnation, AgeMs: milliseconds(l.Age), Load: loadProto(l.Load),
		})
	}
	for _, r := range h.Regions {
		p.Regions = append(p.Regions, &peerv1.RegionSum{
			Region: r.Region, AgeMs: milliseconds(r.Age), Instances: uint32(r.Instances),
			ConfigVersion: r.ConfigVersion, Services: servicesProto(r.Services), Shares: sharesProto(r.Shares),
		})
	}
	for _, a := range h.Heard {
		p.Heard = append(p.Heard, &peerv1.RegionAge{Region: a.Region, AgeMs: milliseconds(a.Age)})
	}
	for _, d := range h.Digests {
		p.Digests = append(p.Digests, &peerv1.RegionDigest{Region: d.Region, Digest: d.Digest})
	}
	return p
}

// FromProto returns a received heartbeat.
func FromProto(p *peerv1.Heartbeat) Heartbeat {
	h := Heartbeat{
		Sender: memberOf(p.GetSender()), Load: loadOf(p.GetLoad()),
		Reach: p.GetReach(), Reached: p.GetReached(), Introduce: p.GetIntroduce(), Join: p.GetJoin(),
	}
	for _, w := range p.GetWords() {
		h.Words = append(h.Words, memberOf(w))
	}
	for _, l := range p.GetLoads() {
		h.Loads = append(h.Loads, MemberLoad{
			ID: l.GetId(), Incarnation: l.GetIncarnation(), Age: duration(l.GetAgeMs()), Load: loadOf(l.GetLoad()),
		})
	}
	for _, r := range p.GetRegions() {
		h.Regions = append(h.Regions, RegionSum{
			Region: r.GetRegion(), Age: duration(r.GetAgeMs()), Instances: int(r.GetInstances()),
			ConfigVersion: r.GetConfigVersion(), Services: servicesOf(r.GetServices()), Shares: sharesOf(r.GetShares()),
		})
	}
	for _, a := range p.GetHeard() {
		h.Heard = append(h.Heard, RegionAge{Region: a.GetRegion(), Age: duration(a.GetAgeMs())})
	}
	for _, d := range p.GetDigests() {
		h.Digests = append(h.Digests, RegionDigest{Region: d.GetRegion(), Digest: d.GetDigest()})
	}
	return h
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func memberProto(m Member) *peerv1.Member {
	return &peerv1.Member{
		Id: m.ID, Incarnation: m.Incarnation, Revision: m.Revision,
		Status: peerv1.MemberStatus(m.Status) + peerv1.MemberStatus_MEMBER_STATUS_ALIVE,
		Region: m.Region, FailureDomain: m.FailureDomain,
		CallerAddress: m.CallerAddress, LookupAddress: m.LookupAddress, PeerAddress: m.PeerAddress,
	}
}

// memberOf takes an unknown status as suspect: the instance may refute it.
func memberOf(p *peerv1.Member) Member {
	status := Suspect
	if s := p.GetStatus(); s >= peerv1.MemberStatus_MEMBER_STATUS_ALIVE && s <= peerv1.MemberStatus_MEMBER_STATUS_DEAD {
		status = Status(s - peerv1.MemberStatus_MEMBER_STATUS_ALIVE)
	}
	return Member{
		ID: p.GetId(), Incarnation: p.GetIncarnation(), Revision: p.GetRevision(), Status: status,
		Region: p.GetRegion(), FailureDomain: p.GetFailureDomain(),
		CallerAddress: p.GetCallerAddress(), LookupAddress: p.GetLookupAddress(), PeerAddress: p.GetPeerAddress(),
	}
}

func loadProto(l Load) *peerv1.Load {
	p := &peerv1.Load{
		ConfigVersion: l.ConfigVersion, StoreContactAgeMs: milliseconds(l.StoreContactAge),
		Services: servicesProto(l.Services), Shares: sharesProto(l.Shares),
	}
	for _, e := range l.Endpoints {
		p.Endpoints = append(p.Endpoints, &peerv1.EndpointLoad{Endpoint: e.Endpoint, InFlight: uint32(e.InFlight), Draining: e.Draining})
	}
	return p
}

func loadOf(p *peerv1.Load) Load {
	l := Load{
		ConfigVersion: p.GetConfigVersion(), StoreContactAge: duration(p.GetStoreContactAgeMs()),
		Services: servicesOf(p.GetServices()), Shares: sharesOf(p.GetShares()),
	}
	for _, e := range p.GetEndpoints() {
		l.Endpoints = append(l.Endpoints, EndpointLoad{Endpoint: e.GetEndpoint(), InFlight: int(e.GetInFlight()), Draining: e.GetDraining()})
	}
	return l
}

func sharesProto(shares []Share) []*peerv1.Share {
	list := make([]*peerv1.Share, 0, len(shares))
	for _, s := range shares {
		list = append(list, &peerv1.Share{Region: s.Region, PartPermille: uint32(s.PerMille)})
	}
	return list
}

func sharesOf(list []*peerv1.Share) []Share {
	var shares []Share
	for _, s := range list {
		shares = append(shares, Share{Region: s.GetRegion(), PerMille: int(min(s.GetPartPermille(), 1000))})
	}
	return shares
}

func servicesProto(services []ServiceLoad) []*peerv1.ServiceLoad {
	list := make([]*peerv1.ServiceLoad, 0, len(services))
	for _, s := range services {
		list = append(list, &peerv1.ServiceLoad{
			Service: s.Service, InFlight: uint32(s.InFlight), Queued: uint32(s.Queued), FreeSlots: uint32(max(0, s.FreeSlots)),
		})
	}
	return list
}

func servicesOf(list []*peerv1.ServiceLoad) []ServiceLoad {
	var services []ServiceLoad
	for _, s := range list {
		services = append(services, ServiceLoad{
			Service: s.GetService(), InFlight: int(s.GetInFlight()), Queued: int(s.GetQueued()), FreeSlots: int(s.GetFreeSlots()),
		})
	}
	return services
}
