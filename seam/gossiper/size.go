package gossiper

// CallOverhead is the size in bytes of the headers of a heartbeat or its answer on a
// connection that is already open.
const CallOverhead = 180

// Sizes in bytes of the parts of an encoded heartbeat, without the contents of strings.
const (
	memberSize   = 15
	loadSize     = 7
	serviceSize  = 10
	endpointSize = 6
	shareSize    = 7
	sumSize      = 14
	ageSize      = 7
	digestSize   = 13
)

// Size estimates the size in bytes of the heartbeat on the network. It is called for every
// message, so it doesn't encode the heartbeat.
func (h Heartbeat) Size() int {
	size := CallOverhead + h.Sender.size() + h.Load.size()
	for _, update := range h.Updates {
		size += update.size()
	}
	for _, l := range h.Loads {
		size += memberSize + len(l.ID) + l.Load.size()
	}
	for _, r := range h.Regions {
		size += sumSize + len(r.Region) + servicesSize(r.Services) + sharesSize(r.Shares)
	}
	for _, a := range h.RegionAges {
		size += ageSize + len(a.Region)
	}
	for _, d := range h.Digests {
		size += digestSize + len(d.Region)
	}
	return size + len(h.ProbeTarget)
}

func (m Member) size() int {
	size := memberSize + len(m.ID)
	for _, text := range []string{m.Region, m.FailureDomain, m.CallerAddress, m.LookupAddress, m.PeerAddress} {
		if text != "" {
			size += 2 + len(text)
		}
	}
	return size
}

func (l Load) size() int {
	size := loadSize + servicesSize(l.Services) + sharesSize(l.Shares)
	for _, e := range l.Endpoints {
		size += endpointSize + len(e.Endpoint)
	}
	return size
}

func servicesSize(services []ServiceLoad) int {
	size := 0
	for _, s := range services {
		size += serviceSize + len(s.Service)
	}
	return size
}

func sharesSize(shares []Share) int {
	size := 0
	for _, s := range shares {
		size += shareSize + len(s.Region)
	}
	return size
}
