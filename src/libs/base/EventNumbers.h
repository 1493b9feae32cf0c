/// \file
/// All numbered log events. docs/EVENTS.md documents them and a test checks
/// that both agree. One declaration per event: name, number, level, message.
#pragma once

#include "base/LogEvent.h"

#include <array>

namespace banyanpick {

/// A kind of log event. Tools match the number and the level, which never
/// change. The message is a description for operators.
struct EventKind {
  std::uint32_t Number;
  LogLevel Level;
  std::string_view Message;
};

/// Starts a log line of this kind.
inline LogEventBuilder logEvent(const EventKind &Kind) {
  return LogEventBuilder(Kind.Level, Kind.Number, Kind.Message);
}

namespace events {

// 1xx: process
inline constexpr EventKind Started{100, LogLevel::Info, "started"};
inline constexpr EventKind Stopping{101, LogLevel::Info, "stopping"};
inline constexpr EventKind Stopped{102, LogLevel::Info, "stopped"};
inline constexpr EventKind InvariantBroken{103, LogLevel::Error,
                                           "invariant broken"};
inline constexpr EventKind BadPeerMessage{104, LogLevel::Warning,
                                          "malformed peer message dropped"};
inline constexpr EventKind SettingsReloaded{105, LogLevel::Info,
                                            "settings reloaded"};
inline constexpr EventKind SettingsRejected{
    106, LogLevel::Error,
    "changed settings rejected; the previous ones stay in force"};
inline constexpr EventKind LinesDropped{107, LogLevel::Warning,
                                        "log lines dropped"};

// 2xx: requests
inline constexpr EventKind RequestAdmitted{200, LogLevel::Info,
                                           "request admitted"};
inline constexpr EventKind RequestRefused{201, LogLevel::Info,
                                          "request refused"};
inline constexpr EventKind RequestRouted{202, LogLevel::Info, "request routed"};
inline constexpr EventKind RequestRetried{203, LogLevel::Warning,
                                          "request retried"};
inline constexpr EventKind RequestEnded{204, LogLevel::Info, "request ended"};
inline constexpr EventKind AttemptFailed{205, LogLevel::Warning,
                                         "attempt failed"};

// 3xx: catalogue and log
inline constexpr EventKind CatalogueAdvanced{300, LogLevel::Info,
                                             "catalogue in force"};
inline constexpr EventKind ChangeRejected{301, LogLevel::Warning,
                                          "change set rejected"};
inline constexpr EventKind LogUnreachable{302, LogLevel::Warning,
                                          "log service unreachable"};
inline constexpr EventKind LogReachable{303, LogLevel::Info,
                                        "log service reachable"};
inline constexpr EventKind RecordsMissed{304, LogLevel::Warning,
                                         "log records missed"};
inline constexpr EventKind LogRecordsLost{305, LogLevel::Error,
                                          "log service lost records"};
inline constexpr EventKind CatalogueRestored{306, LogLevel::Info,
                                             "catalogue restored"};
inline constexpr EventKind SnapshotWritten{307, LogLevel::Info,
                                           "snapshot written"};
inline constexpr EventKind HostNotCurrent{308, LogLevel::Warning,
                                          "catalogue may be out of date"};
inline constexpr EventKind HostCurrent{309, LogLevel::Info,
                                       "catalogue known to be current"};
inline constexpr EventKind ChangeTaken{310, LogLevel::Info,
                                       "change set received from an operator"};
inline constexpr EventKind SnapshotDamaged{311, LogLevel::Warning,
                                           "snapshot unusable"};

// 4xx: claims
inline constexpr EventKind ClaimDecided{400, LogLevel::Info, "claim decided"};
inline constexpr EventKind ClaimReleased{401, LogLevel::Info, "claim released"};

// 5xx: hosts and upstreams
inline constexpr EventKind CacheIndexIncomplete{
    560, LogLevel::Info, "cache events missed; index incomplete"};
inline constexpr EventKind HostChanged{500, LogLevel::Info,
                                       "entry host changed state"};
inline constexpr EventKind HostListUnreachable{501, LogLevel::Warning,
                                               "host list unreachable"};
inline constexpr EventKind HostListReachable{502, LogLevel::Info,
                                             "host list reachable"};
inline constexpr EventKind ProcessWasPaused{503, LogLevel::Warning,
                                            "this process was paused"};
inline constexpr EventKind HostNameInUse{
    504, LogLevel::Error, "another process uses this host's name"};
inline constexpr EventKind DrainBegun{505, LogLevel::Info,
                                      "planned stop begun"};
inline constexpr EventKind DrainEnded{506, LogLevel::Info,
                                      "planned stop ended"};
inline constexpr EventKind StreamHandedOver{
    507, LogLevel::Info, "stream handed over to another host"};
inline constexpr EventKind StreamTakenOver{
    508, LogLevel::Info, "stream taken over from another host"};
inline constexpr EventKind DecisionsLate{509, LogLevel::Warning,
                                         "decisions come late"};
inline constexpr EventKind UpstreamChanged{510, LogLevel::Info,
                                           "upstream changed state"};

// 6xx: placement and orders
inline constexpr EventKind PlacementDecided{600, LogLevel::Info,
                                            "order sent to an engine"};
inline constexpr EventKind OrderAnswerRead{601, LogLevel::Info,
                                           "order answered"};
inline constexpr EventKind LeaseRequested{602, LogLevel::Info,
                                          "leader lease requested"};
inline constexpr EventKind GroupAcquired{
    660, LogLevel::Info, "memory of a group of engines acquired"};
inline constexpr EventKind GroupRefused{
    661, LogLevel::Warning, "memory of a group of engines not acquired"};

// 7xx: quarantine, reclaim
inline constexpr EventKind OrphanFreed{720, LogLevel::Warning,
                                       "orphaned engine memory freed"};
inline constexpr EventKind ContentSuspected{700, LogLevel::Warning,
                                            "content suspected"};
inline constexpr EventKind ContentQuarantined{701, LogLevel::Error,
                                              "content quarantined"};
inline constexpr EventKind QuarantineLearnt{702, LogLevel::Warning,
                                            "quarantine received from a peer"};
inline constexpr EventKind QuarantineReleased{703, LogLevel::Info,
                                              "quarantine released"};
inline constexpr EventKind SuspectCleared{704, LogLevel::Info,
                                          "suspect cleared"};
inline constexpr EventKind LimitShareGiven{710, LogLevel::Debug,
                                           "share of a limit transferred"};

// 8xx: gateway
inline constexpr EventKind ConfigurationInForce{800, LogLevel::Info,
                                                "configuration in force"};
inline constexpr EventKind ConfigurationUnreadable{
    801, LogLevel::Error,
    "configuration unreadable; the previous one stays in force"};
inline constexpr EventKind StoreReachable{802, LogLevel::Info,
                                          "store reachable"};
inline constexpr EventKind StoreUnreachable{803, LogLevel::Warning,
                                            "store unreachable"};
inline constexpr EventKind StoreFollowed{806, LogLevel::Info,
                                         "this host starts reading the store"};
inline constexpr EventKind StoreLeft{807, LogLevel::Info,
                                     "this host stops reading the store"};
inline constexpr EventKind ActiveHostsChanged{808, LogLevel::Info,
                                              "other hosts take the callers"};
inline constexpr EventKind RegistrationUnreadable{804, LogLevel::Warning,
                                                  "registration unreadable"};
inline constexpr EventKind ReportUnreadable{805, LogLevel::Warning,
                                            "engine report unreadable"};
inline constexpr EventKind EngineChanged{810, LogLevel::Info,
                                         "engine state changed"};
inline constexpr EventKind EngineAvoided{811, LogLevel::Warning,
                                         "engine avoided"};
inline constexpr EventKind EngineTrusted{812, LogLevel::Info,
                                         "engine trusted again"};
inline constexpr EventKind EngineSlowdownChanged{813, LogLevel::Info,
                                                 "engine slowdown changed"};
inline constexpr EventKind PeerDistrustChanged{
    814, LogLevel::Info, "engines avoided on a peer's report"};
inline constexpr EventKind EngineLimitChanged{815, LogLevel::Info,
                                              "engine's limit changed"};
inline constexpr EventKind EngineLimitUnreadable{816, LogLevel::Warning,
                                                 "engine's limit unreadable"};
inline constexpr EventKind EngineQuotaLeased{
    817, LogLevel::Info, "this host lends room at an engine"};
inline constexpr EventKind AnswerHeaderUnknown{819, LogLevel::Warning,
                                               "answer has an unknown header"};
inline constexpr EventKind EngineBackoffRequested{826, LogLevel::Info,
                                                  "engine asked for rest"};
inline constexpr EventKind EngineBackoffUnreadable{
    827, LogLevel::Warning, "requested backoff of an engine is unreadable"};
inline constexpr EventKind EngineLeavingUnreadable{
    828, LogLevel::Warning, "leaving signal of an engine is unreadable"};
inline constexpr EventKind EngineCold{860, LogLevel::Info, "engine is cold"};
inline constexpr EventKind EngineWarm{861, LogLevel::Info,
                                      "engine is no longer cold"};
inline constexpr EventKind ColdTimeUnreadable{
    862, LogLevel::Warning, "cold time of an engine is unreadable"};
inline constexpr EventKind RelayReceived{820, LogLevel::Info,
                                         "relayed request received"};
inline constexpr EventKind RelaySent{821, LogLevel::Info,
                                     "relayed request sent"};
inline constexpr EventKind RelayAttemptEnded{822, LogLevel::Info, "try ended"};
inline constexpr EventKind RelayAnswered{823, LogLevel::Info,
                                         "relayed request ended"};
inline constexpr EventKind RelayWaits{824, LogLevel::Info,
                                      "relayed request waits for an engine"};
inline constexpr EventKind RelayAwaitsTurn{
    825, LogLevel::Info, "relayed request queued for shared prefill"};
inline constexpr EventKind ConfigurationMissing{
    829, LogLevel::Warning, "newer configuration is missing here"};
inline constexpr EventKind PeerConfigurationMalformed{
    831, LogLevel::Error, "configuration from a peer is malformed"};
inline constexpr EventKind QuarantineRestored{832, LogLevel::Info,
                                              "quarantine read from the store"};
inline constexpr EventKind StoredQuarantineUnreadable{
    833, LogLevel::Warning, "stored quarantine unreadable"};
inline constexpr EventKind ContentCrashed{830, LogLevel::Warning,
                                          "content crashed an engine"};
inline constexpr EventKind RelayForwarded{
    834, LogLevel::Info, "relayed request forwarded to another host"};
inline constexpr EventKind EnginesOutOfReach{
    835, LogLevel::Warning, "engines of a service are out of reach"};
inline constexpr EventKind EnginesInReach{836, LogLevel::Info,
                                          "engines of a service are in reach"};
inline constexpr EventKind QuarantineRefuted{
    837, LogLevel::Warning, "quarantined content turned out to be harmless"};
inline constexpr EventKind ContentProbed{
    838, LogLevel::Warning, "request sent as a probe of suspected contents"};
inline constexpr EventKind MemoryReserved{840, LogLevel::Info,
                                          "engine memory reserved"};
inline constexpr EventKind MemoryReleased{841, LogLevel::Info,
                                          "engine memory released"};
inline constexpr EventKind MemoryIdle{842, LogLevel::Warning,
                                      "reserved engine memory is not used"};
inline constexpr EventKind WarmUpBegan{850, LogLevel::Info,
                                       "view of the engines' load incomplete"};
inline constexpr EventKind WarmUpEnded{851, LogLevel::Info,
                                       "view of the engines' load complete"};
inline constexpr EventKind ZoneEvacuated{865, LogLevel::Warning,
                                         "zone evacuated"};
inline constexpr EventKind EvacuationEnded{866, LogLevel::Info,
                                           "evacuation of a zone ended"};
inline constexpr EventKind EvacuatedZoneUnknown{
    867, LogLevel::Warning, "evacuated zone has no engines"};
inline constexpr EventKind EvacuationUnreadable{868, LogLevel::Warning,
                                                "evacuation record unreadable"};
inline constexpr EventKind RegionUnusable{869, LogLevel::Warning,
                                          "home region can't be enforced"};

inline constexpr EventKind ShortPromptFrontChanged{
    870, LogLevel::Info, "short prompts are gathered in other zones"};
inline constexpr EventKind CallersSpreadChanged{
    871, LogLevel::Info, "callers of a zone are sent to other zones"};

} // namespace events
} // namespace banyanpick
