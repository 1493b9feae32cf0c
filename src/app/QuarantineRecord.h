/// \file
/// The record of a quarantined content in the store, by which the quarantine
/// outlasts all hosts. It is in the topic of the hosts.
#pragma once

#include "gateway/GatewayEvent.h"
#include "relay/OrderedStore.h"

#include <optional>
#include <string_view>

namespace banyanpick {

/// The key of each record begins with it. No host name contains a slash.
inline constexpr std::string_view QuarantineKeyPrefix = "quarantine/";

KeyedRecord writeQuarantineRecord(const StoreQuarantine &Wanted);

/// Returns nothing when the record is malformed, was removed or is that of a
/// host.
std::optional<Fingerprint> readQuarantineRecord(const KeyedRecord &Record);

} // namespace banyanpick
