package gossiper

// CallOverhead is the bytes of headers around a heartbeat or its answer on a
// connection that is already open.
const CallOverhead = 180

// Sizes of the parts of an encoded heartbeat, in bytes without their texts.
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

// Size estimates the bytes that the heartbeat takes between instances. It is
// asked for at each message, so it doesn't encode.
func (h Heartbeat) Size() int {
	size := CallOverhead + h.Sender.size() + h.Load.size()
	for _, w := range h.Words {
		size += w.size()
	}
	for _, l := range h.Loads {
		size += memberSize + len(l.ID) + l.Load.size()
	}
	for _, r := range h.Regions {
		size += sumSize + len(r.Region) + servicesSize(r.Services) + sharesSize(r.Shares)
	}
	for _, a := range h.Heard {
		size += ageSize + len(a.Region)
	}
	for _, d := range h.Digests {
		size += digestSize + len(d.Region)
	}
	return size + len(h.Reach)
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
