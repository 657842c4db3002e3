package estimator

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/internal/translator"
)

// loaded returns a lone host that has the catalogue of a size in force, holds every right and knows every backend server.
func loaded(size Size, now time.Time) *reducer.State {
	self := reducer.Self{HostID: "host-0000", Incarnation: 1, FailureDomain: domain(0), StartedAt: now.Add(-time.Minute)}
	s := reducer.NewState(self, reducer.DefaultLimits(), 1)
	for i, shard := range size.Shards() {
		index := map[string]uint64{shard.Name: uint64(i + 1)}
		reducer.Reduce[selector.Adaptive](s, now, reducer.IndexRead{AskedAt: now, Shards: index})
		reducer.Reduce[selector.Adaptive](s, now, reducer.ShardRead{Name: shard.Name, Revision: uint64(i + 1), Shard: shard})
	}
	return s
}

// heap returns the live heap in bytes.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// ConfigHeap returns the bytes of live heap that the catalogue of a number of adapters takes.
func ConfigHeap(adapters int) Point {
	size := Size{Hosts: 3, Backends: 3, Accounts: 10, Adapters: adapters}
	before := heap()
	s := loaded(size, time.Unix(1_700_000_000, 0))
	after := heap()
	runtime.KeepAlive(s)
	return Point{Size: float64(len(s.Config.Adapters)), Cost: after - before}
}

// Resident returns the resident size of this process in bytes.
func Resident() float64 {
	debug.FreeOSMemory()
	data, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kilobytes float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kilobytes); n == 1 {
			return 1024 * kilobytes
		}
	}
	return 0
}

// UpdateBytes returns the bytes of the whole catalogue as a peer sends it to a host that starts empty.
func UpdateBytes(adapters int) (Point, error) {
	size := Size{Hosts: 3, Backends: 3, Accounts: 10, Adapters: adapters}
	now := time.Unix(1_700_000_000, 0)
	s := loaded(size, now)
	bytes := 0
	have := map[string]uint64{}
	for more := true; more; {
		for _, e := range reducer.Reduce[selector.Adaptive](s, now, reducer.UpdatesAsked{ReplyID: "a", Have: have}) {
			answer, ok := e.(reducer.UpdatesAnswer)
			if !ok {
				continue
			}
			response, err := translator.Updates("host-0000", answer)
			if err != nil {
				return Point{}, err
			}
			bytes += proto.Size(response)
			more = answer.More
			for _, u := range answer.Updates {
				have[u.Name] = u.Delta.To
			}
		}
	}
	return Point{Size: float64(adapters), Cost: float64(bytes)}, nil
}

// RequestCost returns the nanoseconds of Reduce for one request, from its arrival to its end, at a number of adapters.
func RequestCost(adapters int) Point {
	const requests = 20_000
	now := time.Unix(1_700_000_000, 0)
	s := warmHost(adapters, now)
	names := sampleNames(adapters)
	began := time.Now()
	for i := range requests {
		now = now.Add(100 * time.Microsecond)
		runRequest(s, now, i, names[i%len(names)])
	}
	return Point{Size: float64(adapters), Cost: float64(time.Since(began).Nanoseconds()) / requests}
}

func sampleNames(adapters int) []string {
	names := make([]string, 0, 16)
	for i := range 16 {
		names = append(names, fmt.Sprintf("adapter-%05d", i*adapters/16/10*10))
	}
	return names
}
