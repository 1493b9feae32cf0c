/// \file
/// How many bytes a record takes, roughly.
#pragma once

#include "kernel/LogRecord.h"

namespace banyanpick {

/// An estimate of the record's encoded size in bytes, for bounding batches
/// and buffers.
std::size_t estimatedBytes(const LogRecordBody &Body);

} // namespace banyanpick
