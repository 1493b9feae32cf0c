/// \file
/// Converts records of the platform's log to and from protobuf bytes.
#pragma once

#include "kernel/LogRecord.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// Returns the bytes of one append.
std::string encodeLogBatch(std::span<const LogRecord> Records);

/// Returns the records of one append. Throws Error(BadInput) when the bytes are
/// malformed.
std::vector<LogRecord> decodeLogBatch(std::string_view Bytes);

namespace wire {

class StoredRecord;

void toWire(const banyanpick::StoredRecord &Record, StoredRecord &Out);
banyanpick::StoredRecord fromWire(const StoredRecord &In);

} // namespace wire
} // namespace banyanpick
