/// \file
/// Interface of the durable store. The store holds topics of keyed records and
/// retains at least the newest record of each key.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"
#include "http/Asio.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

/// The topics of the store.
enum class StoreTopic {
  Declarations, ///< Written by operators.
  Engines,      ///< Written by upstreams.
  Hosts,        ///< Written by the entry hosts.
};

/// Returns the topic's name in logs and metrics.
std::string_view name(StoreTopic Topic);

/// One record. A record without a value removes its key.
struct KeyedRecord {
  std::string Key; ///< Empty if the record could not be decoded.
  std::optional<std::string> Value;
  LogOffset Offset = 0;
};

/// One page of the newest records of all keys.
struct NewestPage {
  std::vector<KeyedRecord> Records;
  bool More = false;       ///< There are further pages after the last key.
  LogOffset EndOffset = 0; ///< The page covers all records before it.
};

/// Records in the order in which they were written.
struct RecordsRead {
  std::vector<KeyedRecord> Records;
  LogOffset NextOffset = 0; ///< Where the next read starts.
};

/// The store no longer retains the requested records.
struct RecordsExpired {};

/// The operation failed, or it is unknown whether it took effect because there
/// was no valid answer.
struct StoreFailure {
  enum class Why {
    Busy,      ///< The store refused the operation for now.
    Silent,    ///< No answer in time, or no connection.
    Malformed, ///< The answer does not follow the protocol.
  } Reason = Why::Silent;
  std::string Message;
};

struct AppendAccepted {};

using NewestResult = std::variant<NewestPage, StoreFailure>;
using ReadResult = std::variant<RecordsRead, RecordsExpired, StoreFailure>;
using StoreAppendResult = std::variant<AppendAccepted, StoreFailure>;

/// Asynchronous client of the store. Used on the thread of its executor.
class OrderedStore {
public:
  virtual ~OrderedStore() = default;

  /// Returns a page of the newest records of the keys after \p AfterKey.
  virtual Task<NewestResult> newest(StoreTopic Topic, std::string AfterKey) = 0;
  /// Returns the records from the offset on. If there are none, waits up to
  /// \p Wait for a record.
  virtual Task<ReadResult> read(StoreTopic Topic, LogOffset From,
                                Duration Wait) = 0;
  virtual Task<StoreAppendResult> append(StoreTopic Topic,
                                         KeyedRecord Record) = 0;
};

} // namespace banyanpick
