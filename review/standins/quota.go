package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// The tenant's limit, in tokens: the smallest rate on the site (floor_per_s), and what RULES.md allows in a window.
const (
	quotaRate      = 29000
	quotaBurst     = 29000
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.25
	quotaSlack     = 110000
	quotaBound     = (quotaRate*8+quotaBurst)*(1+quotaOvershoot) + quotaSlack
)

// quotaRequest is a layout draft of the mean size on the sheet with a short answer.
func quotaRequest() request {
	return request{
		method: "POST", path: "/draft/2f", key: clientKey, model: modelName, tokens: "9190,10", deadline: 5 * time.Second,
		prefix: fmt.Sprintf("5c1e07a2:2520,91bd3f06:3780,%s:2890", newID()), body: []byte(strings.Repeat("x", 7000)),
	}
}

// quotaCase: one client of a tenant sends one request after the other on one kept channel; the host of that channel, which keeps the tenant's
// allotment, is stopped by plan and started again.
func quotaCase(dir, daemon string, rec *recorder, trouble bool) bool {
	f := newFleet(dir, daemon, rec, []any{map[string]any{
		"name": "hule930", "api_keys": []string{clientKey}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": quotaRate,
		"burst": quotaBurst,
	}})
	defer f.stop()
	f.startHosts()
	time.Sleep(settleTime)
	if !f.awaitReady() {
		fmt.Fprintln(os.Stderr, "the hosts are not ready")
		f.stop()
		os.Exit(exitCouldNotRun)
	}
	first := f.quotaHost()
	if first == nil {
		fmt.Fprintln(os.Stderr, "no host keeps the allotment")
		f.stop()
		os.Exit(exitCouldNotRun)
	}
	// A whole window passes after the request of quotaHost.
	time.Sleep(quotaWindow + time.Second)
	rec.line("the client's channel leads to host=%s", first.name)
	opened, err := openChannel(first.front)
	check(err)
	c := &client{fleet: f, zone: first.zone, channel: opened, avoid: map[string]bool{}}
	sent := map[string]time.Time{}
	stopAt, end := time.Now().Add(4000*time.Millisecond), time.Now().Add(14*time.Second)
	for stopped := false; time.Now().Before(end); {
		if trouble && !stopped && time.Now().After(stopAt) {
			stopped = true
			f.signal(first, syscall.SIGKILL)
			go f.restartWhenEnded(first)
		}
		a := c.send(quotaRequest())
		sent[a.id] = a.sent
		rec.line("answer id=%s status=%d retry_after=%v err=%v", a.id, a.status, a.retryAfter, a.err)
		if a.err != nil || a.status != 200 {
			time.Sleep(min(max(a.retryAfter, 20*time.Millisecond), time.Second))
		}
	}
	return f.quotaHeld(sent)
}

// quotaHost returns the host that keeps the tenant's allotment after one request to one host has been counted.
func (f *fleet) quotaHost() *host {
	opened, err := openChannel(f.hosts[0].front)
	check(err)
	a := opened.send(quotaRequest())
	f.record.line("first request status=%d err=%v", a.status, a.err)
	_ = opened.conn.Close()
	for _, h := range f.hosts {
		if f.quotasCoordinated(h) > 0 {
			return h
		}
	}
	return nil
}

// quotaHeld checks rule QUOTA: of the requests that were sent and reached a runner inside one window, the tokens.
func (f *fleet) quotaHeld(sent map[string]time.Time) bool {
	var runs []run
	for _, e := range f.engines {
		runs = append(runs, e.allRuns()...)
	}
	most, at := 0, time.Time{}
	for _, first := range runs {
		from, known := sent[first.ID]
		if !known {
			continue
		}
		sum := 0
		for _, r := range runs {
			if s, ok := sent[r.ID]; ok && !s.Before(from) && !r.Arrived.After(from.Add(quotaWindow)) {
				sum += r.Tokens
			}
		}
		if sum > most {
			most, at = sum, from
		}
	}
	f.record.line("most tokens in %v: %d from %d ms, allowed %.0f", quotaWindow, most, at.Sub(f.record.start).Milliseconds(), float64(quotaBound))
	fmt.Printf("most tokens in %v: %d, allowed %.0f\n", quotaWindow, most, float64(quotaBound))
	return float64(most) <= quotaBound
}
