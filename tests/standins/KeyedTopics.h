/// \file
/// The records of a store of keyed topics.
#pragma once

#include "relay/OrderedStore.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace banyanpick::standins {

/// Safe from any thread.
class KeyedTopics {
public:
  /// Gives the record's offset.
  LogOffset append(const std::string &Topic, KeyedRecord Record);
  /// Records from the offset on; waits for one no longer than \p Wait.
  std::vector<KeyedRecord> read(const std::string &Topic, LogOffset From,
                                Duration Wait);
  /// The newest record of each key that has a value.
  std::vector<KeyedRecord> newest(const std::string &Topic);
  LogOffset end(const std::string &Topic);
  /// Drops the history; the newest records stay.
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
