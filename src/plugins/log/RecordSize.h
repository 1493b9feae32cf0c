/// \file
/// Estimates the size of a log record.
#pragma once

#include "kernel/LogRecord.h"

namespace banyanpick {

/// Returns an estimate of the record's encoded size in bytes, for bounding
/// batches and buffers.
std::size_t estimatedBytes(const LogRecordBody &Body);

} // namespace banyanpick
