package e2e

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/exampler"
	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/pkg/caller"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// wholeText is the answer that an adapter gives to a prompt.
func wholeText(model string, version uint32, prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(modeler.Text(modeler.Adapter{Name: model, Version: version}, prompt, i))
	}
	return text.String()
}

func (f *fleet) version(model string) uint32 {
	for _, s := range f.deployment.Shards(f.firstPort) {
		for _, a := range s.Adapters {
			if a.Name == model {
				return a.Version
			}
		}
	}
	return 0
}

// completeMany sends requests at the same time and returns their errors.
func (f *fleet) completeMany(account string, count, tokens int) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			model := f.model(account, i%3)
			prompt := fmt.Sprintf("prompt %d", i)
			answer, err := f.client(account).Complete(context.Background(), model, prompt, tokens)
			if err != nil {
				f.t.Errorf("request %d: %v", i, err)
				return
			}
			if want := wholeText(model, f.version(model), prompt, tokens); answer.Text != want {
				f.t.Errorf("request %d: got %q, want %q", i, answer.Text, want)
			}
		}()
	}
	return &group
}

func TestKilledHostCutsNoAnswer(t *testing.T) {
	f := startFleet(t, nil)
	group := f.completeMany("weddings", 12, 60)
	time.Sleep(500 * time.Millisecond)
	victim := f.owner("stitch-models-1")
	assert.NilError(t, f.hosts[victim.HostID].Process.Kill())
	group.Wait()
	_, keys := f.runs()
	assert.Equal(t, keys, 0, "a backend server has seen a key")
}

func TestDrainedHostCutsNoAnswerAndExitsWithZero(t *testing.T) {
	f := startFleet(t, nil)
	group := f.completeMany("weddings", 12, 60)
	time.Sleep(500 * time.Millisecond)
	leaving := f.owner("stitch-models-1").HostID
	assert.NilError(t, f.hosts[leaving].Process.Signal(syscall.SIGTERM))
	group.Wait()
	err := f.hosts[leaving].Wait()
	assert.NilError(t, err)
	assert.Check(t, strings.Contains(f.logs[leaving].String(), `"cut_requests":"0"`))
}

func TestPausedOwnerDoublesNoCall(t *testing.T) {
	f := startFleet(t, nil)
	owner := f.owner("order-desk-1").HostID
	process := f.hosts[owner].Process
	var group sync.WaitGroup
	for i := range 30 {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			_, _ = f.client("weddings").Call(ctx, "order-desk", []byte(fmt.Sprintf("order-%d", i)))
		}()
	}
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, process.Signal(syscall.SIGSTOP))
	time.Sleep(5 * time.Second)
	assert.NilError(t, process.Signal(syscall.SIGCONT))
	group.Wait()
	byID, _ := f.runs()
	for id, runs := range byID {
		if strings.HasPrefix(id, "order-") {
			assert.Check(t, runs <= 1, "%s ran %d times", id, runs)
		}
	}
}

func TestWithdrawnKeyEndsRunningStream(t *testing.T) {
	f := startFleet(t, nil)
	begun := make(chan struct{})
	var once sync.Once
	client := f.client("gift-shops")
	client.OnText = func(string) { once.Do(func() { close(begun) }) }
	ended := make(chan error, 1)
	go func() {
		_, err := client.Complete(context.Background(), f.model("gift-shops", 0), "long", 1500)
		ended <- err
	}()
	<-begun
	accounts := cataloguer.Shard{Name: "accounts"}
	for _, a := range f.deployment.Accounts {
		if a.ID == "gift-shops" {
			a.Keys = nil
		}
		accounts.ClientAccounts = append(accounts.ClientAccounts, a)
	}
	f.publish(accounts, "")
	var refused *caller.RefusedError
	err := <-ended
	assert.Check(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, "key_withdrawn")
	_, err = f.client("gift-shops").Complete(context.Background(), f.model("gift-shops", 0), "again", 4)
	assert.Check(t, errors.As(err, &refused))
	assert.Equal(t, refused.Reason, "unauthorized")
	assert.Equal(t, refused.Outcome, "not_run")
}

func TestServiceGoesOnWithoutThePlatform(t *testing.T) {
	f := startFleet(t, nil)
	f.fault(f.deployment.PlatformAddress(f.firstPort), `{"down": true}`)
	time.Sleep(6 * time.Second)
	f.completeMany("weddings", 6, 10).Wait()
	restarted := f.owner("stitch-models-2").HostID
	assert.NilError(t, f.hosts[restarted].Process.Kill())
	_ = f.hosts[restarted].Wait()
	f.startHost(restarted)
	f.waitOwned()
	f.completeMany("weddings", 6, 10).Wait()
}

func TestStalePlatformRevertsNothing(t *testing.T) {
	f := startFleet(t, nil)
	platform := f.deployment.PlatformAddress(f.firstPort)
	services := cataloguer.Shard{Name: "services", Services: []cataloguer.Service{{Name: "order-desk", CallTokens: 11}}}
	f.fault(platform, `{"stale": true}`)
	f.fault(platform, `{}`)
	f.publish(services, "")
	newest := func(want uint64) func() bool {
		return func() bool {
			for _, s := range f.settings {
				if status, err := f.status(s); err != nil || status.Revision < want {
					return false
				}
			}
			return true
		}
	}
	f.eventually("the change is in force everywhere", newest(6))
	f.fault(platform, `{"stale": true}`)
	assert.Equal(t, f.publish(services, "?expect=1"), 409)
	restarted := f.settings[0].HostID
	assert.NilError(t, f.hosts[restarted].Process.Kill())
	_ = f.hosts[restarted].Wait()
	f.startHost(restarted)
	f.waitOwned()
	f.eventually("the restarted host has the newest revision", newest(6))
}

func TestMuteStreamsGoOnOverNewConnections(t *testing.T) {
	f := startFleet(t, func(d *exampler.Deployment) { d.EngineCount = 2 })
	group := f.completeMany("weddings", 6, 120)
	time.Sleep(700 * time.Millisecond)
	f.fault(f.backendAddress("stitch-models-1"), `{"mute": true}`)
	f.fault(f.backendAddress("stitch-models-2"), `{"mute": true}`)
	time.Sleep(200 * time.Millisecond)
	f.fault(f.backendAddress("stitch-models-1"), `{}`)
	f.fault(f.backendAddress("stitch-models-2"), `{}`)
	group.Wait()
}

func TestCrossedAnswersAreDiscarded(t *testing.T) {
	f := startFleet(t, func(d *exampler.Deployment) { d.EngineCount = 2 })
	f.fault(f.backendAddress("stitch-models-1"), `{"cross": true}`)
	f.fault(f.backendAddress("stitch-models-2"), `{"cross": true}`)
	f.completeMany("weddings", 6, 20).Wait()
}

func TestEngineThatRestartsEmptyCutsNoAnswer(t *testing.T) {
	f := startFleet(t, func(d *exampler.Deployment) { d.EngineCount = 2 })
	group := f.completeMany("weddings", 8, 80)
	time.Sleep(900 * time.Millisecond)
	f.fault(f.backendAddress("stitch-models-1"), `{"restart": true}`)
	group.Wait()
}
