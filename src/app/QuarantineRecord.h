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

/// Whether it is, by its key, the record of a content that is quarantined.
bool isQuarantineRecord(const KeyedRecord &Record);

/// Returns nothing when the record is malformed or no such record.
std::optional<StoredQuarantine> readQuarantineRecord(const KeyedRecord &Record);

} // namespace banyanpick
