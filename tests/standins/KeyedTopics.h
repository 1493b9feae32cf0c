/// \file
/// In-memory records of a store of keyed topics.
#pragma once

#include "relay/OrderedStore.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace banyanpick::standins {

/// Keeps the records of all topics. Safe to use from any thread.
class KeyedTopics {
public:
  /// Appends a record and returns its offset.
  LogOffset append(const std::string &Topic, KeyedRecord Record);
  /// Returns the records from the offset on. Waits up to \p Wait for the first.
  std::vector<KeyedRecord> read(const std::string &Topic, LogOffset From,
                                Duration Wait);
  /// Returns the newest record of each key, without deleted keys.
  std::vector<KeyedRecord> newest(const std::string &Topic);
  LogOffset end(const std::string &Topic);
  /// Drops the history. The newest records of the keys stay.
  void compact(const std::string &Topic);
  LogOffset first(const std::string &Topic);

private:
  struct Log {
    std::vector<KeyedRecord> Records; ///< Contiguous from First.
    LogOffset First = 0;
    std::map<std::string, KeyedRecord> Newest;

    LogOffset end() const { return this->First + this->Records.size(); }
  };

  std::mutex Mutex;
  std::condition_variable Appended;
  std::map<std::string, Log> Logs;
};

} // namespace banyanpick::standins
