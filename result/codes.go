package result

import (
	"net/http"
	"time"
)

// 1xx: the request is invalid or not allowed. A retry of the same request does not
// help.
const (
	OK              Code = 0
	BadRequest      Code = 101
	Unauthorized    Code = 102
	UnknownService  Code = 103
	BodyTooLarge    Code = 104
	KeyReused       Code = 105
	KeyMissing      Code = 106
	ServiceDenied   Code = 107
	CrashSuspect    Code = 108
	MalformedHeader Code = 109

	UnknownPath      Code = 110
	MethodNotAllowed Code = 111
	HeadersTooLarge  Code = 112
	RequestTimeout   Code = 113
)

// 2xx: the request is refused for now and did not run.
const (
	NoConfig       Code = 201
	NoTarget       Code = 202
	TargetLeaving  Code = 203
	TargetBusy     Code = 204
	StaleVersion   Code = 205
	StaleAgent     Code = 206
	Unreachable    Code = 207
	LimitTeam      Code = 208
	Overloaded     Code = 209
	DeadlineUnmet  Code = 210
	EntryLeaving   Code = 211
	DedupFull      Code = 212
	RetryExhausted Code = 213
	SuspectHeld    Code = 214
	CrashRefused   Code = 223
	WireStreams    Code = 260
	ConnsFull      Code = 261
	CallersFull    Code = 262

	EntryUnregistered Code = 220
	RankLost          Code = 222
	TargetIsolated    Code = 221
)

// 23x and 24x: an order or a configuration change is refused and had no effect.
const (
	BallotOld          Code = 240
	BallotVoid         Code = 241
	RankBusy           Code = 242
	WeightsUnavailable Code = 243
	MapBad             Code = 244

	FenceStale    Code = 230
	FenceUnknown  Code = 231
	LeaseLost     Code = 232
	OrderLimited  Code = 233
	ChangeRefused Code = 234
)

// 33x: the outcome of an order or a configuration change is unknown. The sender must
// repeat it with the same ID.
const (
	OrderUnknown  Code = 330
	ChangeUnknown Code = 331
)

// 250 to 259: the request is refused by placement or admission.
const (
	WaitTooLong  Code = 250
	LimitShare   Code = 251
	LimitTracked Code = 252
	TargetLimit  Code = 253

	TargetResting Code = 254
)

// 3xx: the outcome is unknown; the request may have run.
const (
	RankUnknown  Code = 340
	TargetLost   Code = 301
	EngineLost   Code = 302
	DeadlinePast Code = 303
	KeyUncertain Code = 304
	CallerGone   Code = 305
	AnswerBroken Code = 306
	Internal     Code = 399
)

// 4xx: faults on connections between heatherrail processes. Callers see them only as
// the cause of another result.
const (
	WireFrameTooLarge Code = 401
	WireMalformed     Code = 402
	WireSchema        Code = 403
	WireFlowControl   Code = 404
	WireUnknownKind   Code = 405
	WireClosed        Code = 406
	WireSequence      Code = 407
	WireDigest        Code = 408
	WireRole          Code = 409
	WirePlain         Code = 410
)

// shortRetryAfter is the delay before a retry if the reason for the refusal usually ends soon.
const shortRetryAfter = time.Second

var table = []Info{
	{OK, "ok", http.StatusOK, RunDone, 0, "The whole answer was delivered.", "Nothing."},
	{BadRequest, "bad_request", http.StatusBadRequest, RunNot, 0, "The request cannot be read.", "See the detail in the caller's answer."},
	{Unauthorized, "unauthorized", http.StatusUnauthorized, RunNot, 0, "The key belongs to no team.", "Compare the team's key-hash with the key that the caller sends."},
	{UnknownService, "unknown_service", http.StatusNotFound, RunNot, 0, "No service has this name.", "Check services.ini and the version in force."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, RunNot, 0, "The body is larger than the limit.", "Raise max-body in the entry's settings, if intended."},
	{KeyReused, "idempotency_key_reused", http.StatusUnprocessableEntity, RunNot, 0, "The idempotency key was used with another body.", "The caller's key generator repeats itself."},
	{KeyMissing, "idempotency_key_missing", http.StatusBadRequest, RunNot, 0, "A request that may not be repeated needs an Idempotency-Key.", "Tell the team."},
	{ServiceDenied, "service_denied", http.StatusForbidden, RunNot, 0, "The team may not use this service.", "Check the team's services in teams.ini."},
	{CrashSuspect, "crash_suspect", http.StatusUnprocessableEntity, RunNot, 5 * time.Minute, "This request crashed the targets that ran it and is refused for a time.", "Look at the targets' logs around the quarantine event."},
	{MalformedHeader, "malformed_header", http.StatusBadRequest, RunNot, 0, "A Heatherrail header has a value that is not allowed.", "See the detail in the caller's answer."},
	{UnknownPath, "unknown_path", http.StatusNotFound, RunNot, 0, "The callers' interface has no such path.", "Tell the team."},
	{MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, RunNot, 0, "The path does not take this method.", "Tell the team."},
	{HeadersTooLarge, "headers_too_large", http.StatusRequestHeaderFieldsTooLarge, RunNot, 0, "The request's headers are larger than the limit.", "Tell the team."},
	{RequestTimeout, "request_timeout", http.StatusRequestTimeout, RunNot, 0, "The request did not arrive whole in time.", "A slow network, or a caller that holds connections open on purpose."},
	{NoConfig, "no_config", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "This process knows no configuration yet.", "Check that the log service or a peer can be reached."},
	{NoTarget, "no_target", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "No target of the service can take work.", "Look at status: targets leaving, ejected or lost."},
	{TargetLeaving, "target_leaving", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "The target is leaving.", "Expected during a drain; entries retry elsewhere."},
	{TargetBusy, "target_busy", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "The target's queue is full.", "Compare the agent's queue-limit with the load."},
	{StaleVersion, "stale_version", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "The entry works under a superseded configuration.", "The entry hears from nobody; check its links."},
	{StaleAgent, "stale_agent", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "The request was meant for an earlier incarnation of the agent.", "Expected once after an agent restarts."},
	{Unreachable, "unreachable", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "The target could not be reached; no byte was sent.", "Check the agent's process and address."},
	{LimitTeam, "team_limit", http.StatusTooManyRequests, RunNot, shortRetryAfter, "The team is over its limit.", "Compare the team's limits with its demand."},
	{Overloaded, "overloaded", http.StatusTooManyRequests, RunNot, 2 * time.Second, "The service is overloaded.", "Add targets or shed load."},
	{DeadlineUnmet, "deadline_unmet", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "The deadline cannot be met, so the request was not started.", "Compare the expected wait with the callers' deadlines."},
	{EntryLeaving, "entry_leaving", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "This entry is shutting down.", "Expected while an entry is replaced."},
	{DedupFull, "dedup_full", http.StatusServiceUnavailable, RunNot, 5 * time.Second, "The target remembers as many non-repeatable requests as it may.", "Raise dedup-keys, or shorten dedup-window."},
	{RetryExhausted, "retry_budget", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "The retry budget is spent.", "A service is failing widely; look at its targets."},
	{SuspectHeld, "suspect_held", http.StatusServiceUnavailable, RunNot, 2 * time.Second, "The request is suspected of crashing its target and waits to be attempted alone.", "Look at the quarantine events."},
	{WaitTooLong, "wait_too_long", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "The target's queue is longer than the entry believed.", "Entries place again at once; frequent ones mean that load reports come late."},
	{LimitShare, "team_limit_elsewhere", http.StatusTooManyRequests, RunNot, shortRetryAfter, "Other entries serve this team's limit; ask GET /v1/entries with the team's key.", "The team's callers don't ask which entries to use."},
	{LimitTracked, "team_limit_states", http.StatusServiceUnavailable, RunNot, 5 * time.Second, "This entry counts as many teams as it may.", "Spread the callers over more entries."},
	{TargetLimit, "target_limit", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "All targets of the service report a rate limit, and none takes the request in time.", "The targets are in need; look at `rate limit of a target changed` and at the demand."},
	{TargetResting, "target_resting", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "All targets of the service have asked this entry for rest.", "The targets are overloaded; look at `target asks for rest` and at the demand."},
	{FenceStale, "fence_stale", http.StatusConflict, RunNot, 0, "An order carries a superseded fencing number.", "Its sender lost the lease; nothing to do unless it repeats."},
	{FenceUnknown, "fence_unknown", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "The agent does not know the fencing floor yet.", "Look at the links between entries and this agent."},
	{LeaseLost, "lease_lost", http.StatusConflict, RunNot, 0, "The sender no longer holds the lease.", "Nothing; the next holder goes on."},
	{OrderLimited, "order_limited", http.StatusTooManyRequests, RunNot, shortRetryAfter, "The weight store's rate is used up.", "Orders wait; raise the store's rate if it is often full."},
	{ChangeRefused, "change_refused", http.StatusConflict, RunNot, 0, "A configuration change was refused.", "The detail names the change that won; diff again and apply on top of it."},
	{OrderUnknown, "order_unknown", http.StatusBadGateway, RunMaybe, 0, "The answer to an order was lost.", "The agent reads the engine's state back and settles it."},
	{ChangeUnknown, "change_unknown", http.StatusGatewayTimeout, RunMaybe, 0, "It is not known whether a change was accepted.", "Run apply --resume with the id."},
	{WireStreams, "wire_streams", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "A connection between two processes has as many streams as it may.", "Spread the load over more entries, or look for requests that never end."},
	{ConnsFull, "connections_full", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "The process has as many connections as it may.", "Look for peers or callers that open connections and leave them idle."},
	{CallersFull, "callers_full", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "The process holds as much for its callers as it may, and this request gave way.", "Look for callers that send bodies and do not finish them, or do not read; see callers_gave_way."},
	{EntryUnregistered, "entry_unregistered", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "This entry may not yet dispatch requests that must not run twice.", "The entry started and could not write its presence to the log service."},
	{CrashRefused, "crash_refused", http.StatusServiceUnavailable, RunNot, 5 * time.Minute, "Targets crashed each time they ran this request; it is refused for a time.", "Look at `request quarantined` and at the logs of the targets that it names."},
	{TargetIsolated, "target_isolated", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "The target runs a suspected request alone.", "Expected for a moment after a target crashed; entries retry elsewhere."},
	{RankLost, "rank_lost", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "The rank group that would run the request is broken.", "A rank of the group is dead or cut off; the group opens when it is back."},
	{BallotOld, "ballot_old", http.StatusConflict, RunNot, 0, "A rank has promised a higher ballot.", "Two entries ordered a map switch; the later one wins."},
	{BallotVoid, "ballot_void", http.StatusConflict, RunNot, 0, "The order belongs to a hold that is over, or to an earlier run of agent or engine.", "Expected after a rank restarts; the owner begins anew."},
	{RankBusy, "rank_busy", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "Orders wait for a rank's engine.", "The engine does not answer; look at its VM."},
	{WeightsUnavailable, "weights_unavailable", http.StatusServiceUnavailable, RunNot, shortRetryAfter, "A rank could not load expert weights.", "Check the weight store; rebalancing pauses until it answers."},
	{MapBad, "map_bad", http.StatusBadRequest, RunNot, 0, "An expert map does not fit its shape.", "Compare layers, experts and slots of the group."},
	{RankUnknown, "rank_unknown", http.StatusBadGateway, RunMaybe, 0, "It is not known whether a rank's engine took an order.", "Look at the engine; the next ballot asks all ranks again."},
	{TargetLost, "target_lost", http.StatusBadGateway, RunMaybe, 0, "The target was lost after the request was sent.", "Look at the target's VM."},
	{EngineLost, "engine_lost", http.StatusBadGateway, RunMaybe, 0, "The engine or service behind the agent failed while it ran the request.", "Look at the engine's log."},
	{DeadlinePast, "deadline_past", http.StatusGatewayTimeout, RunMaybe, 0, "The deadline passed while the request ran.", "Compare step times with the callers' deadlines."},
	{KeyUncertain, "key_in_doubt", http.StatusConflict, RunMaybe, 0, "An earlier attempt with this idempotency key may have run.", "The caller must look before it asks again."},
	{CallerGone, "caller_gone", 499, RunMaybe, 0, "The caller closed its connection.", "Nothing, unless it is frequent."},
	{AnswerBroken, "answer_broken", http.StatusBadGateway, RunMaybe, 0, "The answer could not be completed.", "Look at the target's log."},
	{Internal, "internal", http.StatusInternalServerError, RunMaybe, 0, "A fault inside heatherrail.", "Report it with the request id."},
	{WireFrameTooLarge, "wire_frame_too_large", http.StatusBadGateway, RunMaybe, 0, "A frame is larger than the limit.", "Versions or limits differ between processes."},
	{WireMalformed, "wire_malformed", http.StatusBadGateway, RunMaybe, 0, "A frame cannot be decoded.", "Something else speaks to this port."},
	{WireSchema, "wire_schema", http.StatusBadGateway, RunNot, 0, "The peer speaks another schema version.", "Finish the upgrade."},
	{WireFlowControl, "wire_flow_control", http.StatusBadGateway, RunMaybe, 0, "The peer sent more than its credit.", "Report it."},
	{WireUnknownKind, "wire_unknown_kind", http.StatusBadGateway, RunMaybe, 0, "A frame has an unknown kind.", "Versions differ between processes."},
	{WireClosed, "wire_closed", http.StatusBadGateway, RunMaybe, 0, "The connection between two processes ended.", "Look at the peer's log."},
	{WireSequence, "wire_sequence", http.StatusBadGateway, RunMaybe, 0, "A chunk was lost, doubled or reordered.", "Report it."},
	{WireDigest, "wire_digest", http.StatusBadGateway, RunMaybe, 0, "An answer does not match its digest.", "Report it."},
	{WirePlain, "wire_plain", http.StatusBadGateway, RunNot, 0, "Plain TCP is allowed on loopback only.", "Set the keys in [tls]."},
	{WireRole, "wire_role", http.StatusBadGateway, RunNot, 0, "The peer's certificate does not allow the role that it claims.", "Compare the certificate's names with SECURITY.md."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, info := range table {
		m[info.Code] = info
	}
	return m
}()

// All returns the entries of all codes in the order of the table. The caller must not
// modify them.
func All() []Info { return table }

// Info returns the table entry of the code, or that of Internal if the code is not in
// the table.
func (c Code) Info() Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	return byCode[Internal]
}
