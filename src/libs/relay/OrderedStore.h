/// \file
/// The port to the store that keeps what must last: topics of records with a
/// key, whose newest record for each key stays.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"
#include "http/Asio.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

/// What is kept in the store.
enum class StoreTopic {
  Declarations, ///< Written by operators.
  Engines,      ///< Written by upstreams.
  Hosts,        ///< Written by the entry hosts themselves.
};

/// The topic's name in logs and metrics.
std::string_view name(StoreTopic Topic);

/// One record; without a value the key is gone.
struct KeyedRecord {
  std::string Key; ///< Empty for a record that could not be read.
  std::optional<std::string> Value;
  LogOffset Offset = 0;
};

/// A part of the newest records of all keys.
struct NewestPage {
  std::vector<KeyedRecord> Records;
  bool More = false;       ///< Continue after the last key.
  LogOffset EndOffset = 0; ///< Records before it were seen.
};

/// Records in the order in which they were written.
struct RecordsRead {
  std::vector<KeyedRecord> Records;
  LogOffset NextOffset = 0; ///< Where the next read goes on.
};

/// Records that were asked for are not kept any more.
struct RecordsExpired {};

/// The store did not do it, or may have: there is no answer.
struct StoreFailure {
  enum class Why {
    Busy,      ///< It refused for now.
    Silent,    ///< No answer in time, or no connection.
    Malformed, ///< Its answer is not as agreed.
  } Reason = Why::Silent;
  std::string Message;
};

struct AppendAccepted {};

using NewestResult = std::variant<NewestPage, StoreFailure>;
using ReadResult = std::variant<RecordsRead, RecordsExpired, StoreFailure>;
using StoreAppendResult = std::variant<AppendAccepted, StoreFailure>;

/// Used on the thread of its executor.
class OrderedStore {
public:
  virtual ~OrderedStore() = default;

  /// The newest records of the keys after \p AfterKey.
  virtual Task<NewestResult> newest(StoreTopic Topic, std::string AfterKey) = 0;
  /// Records from the offset on; waits for one no longer than \p Wait.
  virtual Task<ReadResult> read(StoreTopic Topic, LogOffset From,
                                Duration Wait) = 0;
  virtual Task<StoreAppendResult> append(StoreTopic Topic,
                                         KeyedRecord Record) = 0;
};

} // namespace banyanpick
