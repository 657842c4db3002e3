package throttler

import (
	"math"
	"time"
)

const (
	// fewSenders is the number of senders up to which their shares may be small, so that enough hosts can send to a server with a low rate. More
	// senders are chosen only as long as each has leastShare requests per second: each of them waits for a request before it may send one.
	fewSenders = 8
	leastShare = 0.5
	// manySenders bounds the number of senders at any rate; it is above the number of hosts of a fleet.
	manySenders = 512
	// fraction is the part of the server's rate that all senders together use. A calm fleet must use at least half of the rate; the rest
	// of the bound is for hosts that wrongly take themselves for senders.
	fraction = 0.55
	// longestTransit is the longest time from the decision to send a request until it reaches the server.
	longestTransit = 200 * time.Millisecond
	// partition is how many times the intended senders take themselves for senders where each host knows half of the fleet.
	partition = 2
	// enoughRoom is the room for further senders, in square roots of their intended number, from which more senders are better than more room. It is
	// 2.4 (one sender) to 3.8 (eight) standard deviations of their number in views that each lack half of the fleet.
	enoughRoom = 2
)

// Division states how the rate of one backend server is divided among the hosts; the zero value lets none send.
type Division struct {
	// Senders is the number of hosts that may send to the server, the first ones by rank.
	Senders int
	// Share is the rate of each sender in requests per second.
	Share float64
}

// Divide returns how the rate of a server, in requests per second, is divided where this many hosts are known. No host may send where no host
// is known or the rate is not a positive number.
func Divide[P Policy](rate float64, hosts int) Division {
	if !(rate > 0) || math.IsInf(rate, 1) {
		return Division{}
	}
	var policy P
	bound := policy.Bound()
	best, most := 0, math.Inf(-1)
	for senders := 1; senders <= maxSenders(rate); senders++ {
		if r := min(room(bound, rate, senders), enoughRoom); r >= most {
			best, most = senders, r
		}
	}
	// In a small fleet, the number follows that of the known hosts closely: hosts with unlike views that differ much in it would exceed the bound.
	for senders := min(best, hosts); senders > 0; senders-- {
		if room(bound, rate, senders) >= 0 {
			return Division{Senders: senders, Share: share(rate, senders)}
		}
	}
	return Division{}
}

// maxSenders returns the largest number of senders that is considered for a rate.
func maxSenders(rate float64) int {
	return int(min(max(fewSenders, rate*fraction/leastShare), manySenders))
}

// share returns the rate of each of the senders.
func share(rate float64, senders int) float64 { return rate * fraction / float64(senders) }

// room returns how many senders the bound bears beyond those of a divided fleet, in square roots of their intended number, with which the
// spread of their number grows.
func room(bound Bound, rate float64, senders int) float64 {
	perSender := math.Floor(1 + share(rate, senders)*(bound.Window+longestTransit).Seconds())
	borne := math.Floor((bound.Factor*rate*bound.Window.Seconds() + bound.Extra) / perSender)
	return (borne - partition*float64(senders)) / math.Sqrt(float64(senders))
}
