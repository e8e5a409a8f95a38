package policy

// Bulkhead divides the memory for complete requests among services, so that one that does not
// respond leaves a part to the others.
type Bulkhead struct {
	// Limit is the memory in bytes.
	Limit int64
	// Factor is the multiple of the free memory that the requests of one service may take.
	Factor float64
}

// Fits reports whether a request of n bytes fits, if the requests of all services take total bytes
// and those of its service take a part of them. The first request of a service has no share to
// exceed.
func (b Bulkhead) Fits(total, service, n int64) bool {
	free := b.Limit - total - n
	return free >= 0 && (service == 0 || float64(service+n) <= b.Factor*float64(free))
}
