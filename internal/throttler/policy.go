package throttler

// MaxSenders is the largest number of senders of any policy.
const MaxSenders = 3

// ColdStart is the bound of a backend server in its cold start, which bears one and a half times its rate and 5 requests in any second.
type ColdStart struct{}

// Division returns how the rate of a cold server is divided.
func (ColdStart) Division() Division {
	return Division{Senders: MaxSenders, Fraction: 0.75, Burst: 1}
}

// NamedLimit is the bound of a backend server that names a limit in its responses, which bears one and a half times that and 5 requests in any 4 s.
type NamedLimit struct{}

// Division returns how the limit that a server names is divided.
func (NamedLimit) Division() Division {
	return Division{Senders: MaxSenders, Fraction: 0.75, Burst: 1}
}
