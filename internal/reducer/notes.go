package reducer

// Numbers of the log events that the reducer records; package recorder holds their texts.
const (
	EventConfigAdopted       = 101
	EventShardRefused        = 102
	EventPlatformUnreachable = 103
	EventPlatformStale       = 104
	EventReadiness           = 105
	EventLeaseTaken          = 201
	EventLeaseLost           = 202
	EventLeaseHandedOver     = 203
	EventDrainStarted        = 204
	EventDrainDone           = 205
	EventBackendKnown        = 301
	EventBackendFailed       = 302
	EventBackendCold         = 303
	EventLoadFailed          = 304
)
