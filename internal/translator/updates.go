package translator

import (
	"github.com/ansel1/merry/v2"

	"github.com/redwingpick/redwingpick/internal/reducer"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// ErrUpdate is returned when a peer's update does not hold a valid shard.
var ErrUpdate = merry.New("peer sent an invalid update")

// Updates returns the wire form of an answer with newer shards.
func Updates(from string, answer reducer.UpdatesAnswer) (*peerv1.UpdatesResponse, error) {
	response := &peerv1.UpdatesResponse{From: from, Revision: answer.Revision, More: answer.More}
	for _, u := range answer.Updates {
		set, err := cataloguer.Encode(u.Delta.Set)
		if err != nil {
			return nil, merry.Wrap(ErrUpdate, merry.WithCause(err))
		}
		response.Updates = append(response.Updates, &peerv1.ShardUpdate{
			Name:                  u.Name,
			From:                  u.Delta.From,
			To:                    u.Delta.To,
			Full:                  u.Delta.Full,
			Set:                   set,
			RemovedAdapters:       u.Delta.Removed.Adapters,
			RemovedClientAccounts: u.Delta.Removed.ClientAccounts,
			RemovedServices:       u.Delta.Removed.Services,
			RemovedBackendServers: u.Delta.Removed.BackendServers,
		})
	}
	return response, nil
}

// UpdatesEvent returns the event for a peer's answer; an update that cannot be read fails the whole answer.
func UpdatesEvent(response *peerv1.UpdatesResponse) (reducer.UpdatesRead, error) {
	event := reducer.UpdatesRead{From: response.GetFrom(), Revision: response.GetRevision(), More: response.GetMore()}
	for _, u := range response.GetUpdates() {
		set, err := cataloguer.ParseUpdate(u.GetName(), u.GetSet())
		if err != nil {
			return event, merry.Wrap(ErrUpdate, merry.WithCause(err))
		}
		event.Updates = append(event.Updates, reducer.ShardUpdate{Name: u.GetName(), Delta: cataloguer.Delta{
			From: u.GetFrom(),
			To:   u.GetTo(),
			Full: u.GetFull(),
			Set:  set,
			Removed: cataloguer.Removed{
				Adapters:       u.GetRemovedAdapters(),
				ClientAccounts: u.GetRemovedClientAccounts(),
				Services:       u.GetRemovedServices(),
				BackendServers: u.GetRemovedBackendServers(),
			},
		}})
	}
	return event, nil
}
