package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// cutTime is the length of the partition (for_s of core_cut on the site).
	cutTime = 5500 * time.Millisecond
	// leaseTime is lease_ms of the site.
	leaseTime = 3 * time.Second
	// thawSlack is thaw_slack_ms of the site.
	thawSlack = 300 * time.Millisecond
	// holderBurst is the number of requests on each side of the partition, from burstFrom after its start to its end.
	holderBurst = 40
	burstFrom   = 4300 * time.Millisecond
)

// holdersCase: the three machines that the seeds name are cut off from the other four and restarted; adapters are asked for on both sides. With
// SEEDS=1 the seeds name a single machine, and it alone is cut off.
func holdersCase(dir, daemon string, rec *recorder, trouble bool) bool {
	f := newFleet(dir, daemon, rec, []any{map[string]any{"name": "hule930", "api_keys": []string{clientKey}, "priority": 1}})
	defer f.stop()
	var engines []*adapterEngine
	for i, e := range f.engines {
		close(e.stopped)
		f.store.remove("servers/" + e.id)
		engines = append(engines, f.startAdapterEngine(fmt.Sprintf("i-a%d", i), tttZones[i%3]))
	}
	seeds := 3
	if os.Getenv("SEEDS") == "1" {
		seeds = 1
	}
	cuts := f.partitioned(seeds)
	f.startHosts()
	time.Sleep(settleTime)
	if !f.awaitReady() {
		fmt.Fprintln(os.Stderr, "the hosts are not ready")
		f.stop()
		os.Exit(exitCouldNotRun)
	}
	statuses := f.askForAdapters(f.hosts, 20, 2*time.Second)
	rec.line("before: answers by status %v", statuses)
	time.Sleep(3 * time.Second)
	if trouble {
		rec.line("cut")
		cuts.setCut(true)
		for _, h := range f.hosts[:seeds] {
			f.signal(h, syscall.SIGKILL)
			go f.restartWhenEnded(h)
		}
	}
	time.Sleep(burstFrom)
	var wait sync.WaitGroup
	for _, side := range [][]*host{f.hosts[:seeds], f.hosts[seeds:]} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			statuses := f.askForAdapters(side, holderBurst, cutTime-burstFrom)
			rec.line("side of %s: answers by status %v", side[0].name, statuses)
		}()
	}
	time.Sleep(cutTime - burstFrom)
	healed := time.Now()
	if trouble {
		rec.line("healed")
		cuts.setCut(false)
	}
	wait.Wait()
	time.Sleep(4 * time.Second)
	held := true
	for _, e := range engines {
		held = e.oneHolder(healed) && held
	}
	return held
}

// askForAdapters sends requests for adapters that nobody has asked for before, spread over a time.
func (f *fleet) askForAdapters(hosts []*host, n int, over time.Duration) map[int]int {
	statuses, mutex := map[int]int{}, sync.Mutex{}
	var wait sync.WaitGroup
	for range n {
		f.adapter++
		adapter := f.adapter
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := answer{}
			if opened, err := openChannel(hosts[rand.Intn(len(hosts))].front); err == nil {
				a = opened.send(request{
					method: "POST", path: "/note/2f", key: clientKey, model: modelName + "/a" + strconv.Itoa(adapter), tokens: "826,20",
					prefix: "5c1e07a2:119,91bd3f06:79," + newID() + ":628", deadline: 12 * time.Second, body: make([]byte, 1700),
				})
				_ = opened.conn.Close()
			}
			mutex.Lock()
			statuses[a.status]++
			mutex.Unlock()
		}()
		time.Sleep(over / time.Duration(n))
	}
	wait.Wait()
	return statuses
}

// oneHolder checks rule ONE by the orders that arrived: no lower generation number after a higher one, and no turns within leaseTime. Orders
// that arrive within thawSlack after the links healed do not count.
func (e *adapterEngine) oneHolder(healed time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var counted []arrivedOrder
	for _, o := range e.orders {
		if o.at.Before(healed) || o.at.After(healed.Add(thawSlack)) {
			counted = append(counted, o)
		}
	}
	held := true
	highest := int64(0)
	for i, o := range counted {
		if o.fence < highest {
			held = false
			e.fleet.record.line("ONE runner=%s: order of %s with fence %d after one with %d", e.id, o.holder, o.fence, highest)
		}
		highest = max(highest, o.fence)
		for j := i - 1; j >= 0 && o.at.Sub(counted[j].at) < leaseTime; j-- {
			if counted[j].holder != o.holder {
				for k := j - 1; k >= 0 && o.at.Sub(counted[k].at) < leaseTime; k-- {
					if counted[k].holder == o.holder {
						held = false
						e.fleet.record.line("ONE runner=%s: turns of %s, %s, %s within %v", e.id, o.holder, counted[j].holder, o.holder, leaseTime)
						break
					}
				}
				break
			}
		}
	}
	return held
}
