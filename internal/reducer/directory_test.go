package reducer

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// largeFleetHosts returns the records of ready hosts in the given number of domains: three large ones and the rest small in each.
func largeFleetHosts(domains, perDomain int) []HostRecord {
	var hosts []HostRecord
	for d := range domains {
		for i := range perDomain {
			capacity := 192
			if i < 3 {
				capacity = 800
			}
			id := fmt.Sprintf("d%d-%02d", d, i)
			hosts = append(hosts, HostRecord{ID: id, Address: id, FailureDomain: fmt.Sprintf("d%d", d), Ready: true, CapacityMillicores: capacity})
		}
	}
	return hosts
}

func TestCallersAreDirectedToTheLargeHostsOfTheirDomain(t *testing.T) {
	hosts := largeFleetHosts(6, 32)
	named := nameHosts(hosts, "d2")
	large, capacity := 0, 0
	for _, h := range named {
		assert.Equal(t, h.FailureDomain, "d2")
		capacity += h.capacity()
		if h.capacity() == 800 {
			large++
		}
	}
	assert.Equal(t, large, 3)
	assert.Assert(t, len(named) >= minNamedHosts && len(named) <= 16, "%d hosts", len(named))
	assert.Assert(t, capacity*namedCapacityDivisor >= 3*800+29*192)
	again := nameHosts(hosts, "d2")
	assert.DeepEqual(t, named, again)
}

// Guards against a failure domain that has lost most of its hosts being served by the few that are left.
func TestCallersOfALostDomainAreDirectedToOthers(t *testing.T) {
	hosts := largeFleetHosts(5, 32)
	hosts = append(hosts, HostRecord{ID: "d5-00", Address: "d5-00", FailureDomain: "d5", Ready: true, CapacityMillicores: 192})
	named := nameHosts(hosts, "d5")
	assert.Equal(t, named[0].ID, "d5-00")
	assert.Assert(t, len(named) >= minNamedHosts)
	assert.Assert(t, len(nameHosts(hosts, "unknown")) >= minNamedHosts)
}

func TestSmallFleetNamesAllHosts(t *testing.T) {
	f := newFixture(t)
	f.addFiveHosts()
	resp := must[LocateResponse](t, f.reduce(LocateRequested{ReplyID: "r", FailureDomain: "west"}))
	assert.Equal(t, len(resp.Addresses), 6, strings.Join(resp.Addresses, " "))
}
