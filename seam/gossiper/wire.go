package gossiper

import (
	"time"

	peerv1 "primroseseam.org/seam/gen/peer/v1"
)

// Proto converts the heartbeat to its Protocol Buffers message.
func (h Heartbeat) Proto() *peerv1.Heartbeat {
	p := &peerv1.Heartbeat{
		Sender: memberProto(h.Sender), Load: loadProto(h.Load),
		Reach: h.ProbeTarget, Reached: h.ProbeAnswered, Introduce: h.WantAddresses, Join: h.Join,
	}
	for _, update := range h.Updates {
		p.Words = append(p.Words, memberProto(update))
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
	for _, a := range h.RegionAges {
		p.Heard = append(p.Heard, &peerv1.RegionAge{Region: a.Region, AgeMs: milliseconds(a.Age)})
	}
	for _, d := range h.Digests {
		p.Digests = append(p.Digests, &peerv1.RegionDigest{Region: d.Region, Digest: d.Digest})
	}
	return p
}

// FromProto converts a received Protocol Buffers message to a heartbeat.
func FromProto(p *peerv1.Heartbeat) Heartbeat {
	h := Heartbeat{
		Sender: memberFromProto(p.GetSender()), Load: loadFromProto(p.GetLoad()),
		ProbeTarget: p.GetReach(), ProbeAnswered: p.GetReached(), WantAddresses: p.GetIntroduce(), Join: p.GetJoin(),
	}
	for _, update := range p.GetWords() {
		h.Updates = append(h.Updates, memberFromProto(update))
	}
	for _, l := range p.GetLoads() {
		h.Loads = append(h.Loads, MemberLoad{
			ID: l.GetId(), Incarnation: l.GetIncarnation(), Age: duration(l.GetAgeMs()), Load: loadFromProto(l.GetLoad()),
		})
	}
	for _, r := range p.GetRegions() {
		h.Regions = append(h.Regions, RegionSum{
			Region: r.GetRegion(), Age: duration(r.GetAgeMs()), Instances: int(r.GetInstances()),
			ConfigVersion: r.GetConfigVersion(), Services: servicesFromProto(r.GetServices()), Shares: sharesFromProto(r.GetShares()),
		})
	}
	for _, a := range p.GetHeard() {
		h.RegionAges = append(h.RegionAges, RegionAge{Region: a.GetRegion(), Age: duration(a.GetAgeMs())})
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

// memberFromProto converts a member. An unknown status becomes Suspect, which the instance
// can refute.
func memberFromProto(p *peerv1.Member) Member {
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

func loadFromProto(p *peerv1.Load) Load {
	l := Load{
		ConfigVersion: p.GetConfigVersion(), StoreContactAge: duration(p.GetStoreContactAgeMs()),
		Services: servicesFromProto(p.GetServices()), Shares: sharesFromProto(p.GetShares()),
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

func sharesFromProto(list []*peerv1.Share) []Share {
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

func servicesFromProto(list []*peerv1.ServiceLoad) []ServiceLoad {
	var services []ServiceLoad
	for _, s := range list {
		services = append(services, ServiceLoad{
			Service: s.GetService(), InFlight: int(s.GetInFlight()), Queued: int(s.GetQueued()), FreeSlots: int(s.GetFreeSlots()),
		})
	}
	return services
}
