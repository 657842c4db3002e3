package throttler

// MaxSenders is the largest number of senders of any policy.
const MaxSenders = 3

// ColdStart is the bound of a backend server in its cold start, which bears one and a half times its rate and 5 requests in any second.
type ColdStart struct{}

// Division returns how the rate of a cold server is divided.
func (ColdStart) Division() Division {
	return Division{Senders: MaxSenders, Fraction: 0.75, Burst: 1}
}
