package reducer

import (
	"strconv"
	"time"
)

// Numbers of the events that the reducer logs.
//
// The numbers and the names of log fields are stable, because operators and the explain command read them. Some field names use other
// words than the code: seats are voters, heard means reachable, places are adapter slots, wants are pending loads, platform means the
// configuration service, and kept_ms is the time as quota coordinator.
const (
	EventCatalogueApplied         = 101
	EventDocumentRefused          = 102
	EventConfigServiceUnavailable = 103
	EventConfigServiceRecovered   = 104
	EventReadinessChanged         = 105
	EventDomainWithdrawn          = 106
	EventConfigurationStale       = 107
	EventConfigurationConfirmed   = 108
	EventHostJoined               = 111
	EventHostRecovered            = 112
	EventHostRemoved              = 113
	EventHostUnreachable          = 114
	EventVotersKnown              = 115
	EventBecameVoter              = 116
	EventMajorityChanged          = 117
	EventVoterEvicted             = 118
	EventForeignOrderSeen         = 119
	EventEraLearned               = 123
	EventEraEntered               = 124
	EventItemSettled              = 125
	EventOldAnswerDropped         = 126
	EventDrainStarted             = 121
	EventDrainDone                = 122
	EventLeaseAcquired            = 131
	EventLeaseLost                = 132
	EventLeaseGranted             = 133
	EventClaimRefused             = 134
	EventBackendJoined            = 141
	EventBackendDraining          = 142
	EventBackendRemoved           = 143
	EventBackendEjected           = 144
	EventBackendLeaving           = 145
	EventBackendBackoff           = 146
	EventBackendCrashed           = 147
	EventContentQuarantined       = 148
	EventContentReleased          = 149
	EventOrderSent                = 151
	EventOrderFailed              = 152
	EventAdapterLoaded            = 153
	EventAdapterRequested         = 154
	EventTrialBegan               = 155
	EventTrialEnded               = 156
	EventReplicasChanged          = 164
	EventServiceRateChanged       = 161
	EventBackendSlowed            = 162
	EventLoadFigureIgnored        = 163
	EventSlowStartBegan           = 167
	EventSlowStartLimit           = 168
	EventSlowStartEnded           = 169
	EventLoadsSlowed              = 165
	EventColdStartBegan           = 170
	EventRateLimitChanged         = 171
	EventRateLimitIgnored         = 172
	EventRequestSent              = 202
	EventRequestEnded             = 203
	EventRequestRefused           = 204
	EventAttemptFailed            = 205
	EventRequestWaiting           = 206
	EventCallerDisconnected       = 207
	EventRateExceeded             = 208
	EventTokensInsufficient       = 209
	EventAttemptStalled           = 210
	EventLateAdmission            = 211
	EventReturnPromised           = 212
	EventCallerReturned           = 213
	EventEarlyReturn              = 214
)

func boolField(name string, value bool) Field { return Field{name, strconv.FormatBool(value)} }

func intField(name string, value int) Field { return Field{name, strconv.Itoa(value)} }

func floatField(name string, value float64) Field {
	return Field{name, strconv.FormatFloat(value, 'g', 6, 64)}
}

// ageField returns a field with the milliseconds since at, or an empty field, which is not logged, if at is zero.
func ageField(name string, now, at time.Time) Field {
	if at.IsZero() {
		return Field{Name: name}
	}
	return msField(name, now.Sub(at))
}

func msField(name string, value time.Duration) Field {
	return Field{name, strconv.FormatInt(value.Milliseconds(), 10)}
}

// fields returns the log fields that identify the origin, if it is known, followed by more.
func (o Origin) fields(more ...Field) []Field {
	if o.Request == "" {
		return more
	}
	return append([]Field{{"request", o.Request}, msField("age_ms", o.Age)}, more...)
}

// origin returns the identification of the request for the messages that it causes.
func (r *Request) origin(now time.Time) Origin {
	return Origin{Request: r.CallerID, Age: now.Sub(r.ArrivedAt)}
}
