/// \file
/// Records of the platform's log as protobuf bytes.
#pragma once

#include "kernel/LogRecord.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// The bytes of one append.
std::string encodeLogBatch(std::span<const LogRecord> Records);

/// The records of one append. Throws Error(BadInput) when the bytes are none.
std::vector<LogRecord> decodeLogBatch(std::string_view Bytes);

namespace wire {

class StoredRecord;

void toWire(const banyanpick::StoredRecord &Record, StoredRecord &Out);
banyanpick::StoredRecord fromWire(const StoredRecord &In);

} // namespace wire
} // namespace banyanpick
