/// \file
/// Reads one topic of the store continuously.
#pragma once

#include "relay/OrderedStore.h"

#include <functional>
#include <memory>
#include <span>

namespace banyanpick {

/// Intervals and timeouts of a KeyedFollower.
struct FollowOptions {
  Duration MinInterval{}; ///< Minimum time between the starts of two reads.
  Duration Wait{};        ///< How long a read waits for new records.
  /// Delay after the first failure; doubles with each further one.
  Duration InitialRetryDelay{};
  Duration MaxRetryDelay{};
};

/// Once it is told to follow the topic, lists the newest records of all keys
/// and then reads the records written after them. Lists them again when the
/// store has discarded records before they were read. Retries failed operations
/// without limit.
class KeyedFollower : public std::enable_shared_from_this<KeyedFollower> {
public:
  /// Callbacks, called on the executor's thread.
  struct Listener {
    /// If \p Complete is set, \p Records holds the newest record of every key
    /// as of \p UpTo.
    std::function<void(std::span<const KeyedRecord> Records, bool Complete,
                       LogOffset UpTo)>
        OnRecords;
    std::function<void(bool Reachable, std::string_view Reason)> OnReachable;
  };

  KeyedFollower(const net::any_io_executor &Executor, OrderedStore &Store,
                StoreTopic Topic, FollowOptions Options, Listener Callbacks);

  void start();
  /// Begins or resumes reading at the last offset, or stops after the read in
  /// progress.
  void setFollowing(bool Enabled);
  /// Sets the minimum time between the starts of two reads.
  void setMinInterval(Duration MinInterval) {
    this->Options.MinInterval = MinInterval;
  }

private:
  Task<void> run();
  /// Lists or reads the topic once. Returns false if that failed.
  Task<bool> readOnce();
  /// Returns false if the listing failed.
  Task<bool> list();
  /// Returns false if the read failed.
  Task<bool> readNext();
  Task<void> sleep(Duration Length);
  void reportFailure(const StoreFailure &Failure);
  void reportReachable();

  net::any_io_executor Executor;
  OrderedStore &Store;
  StoreTopic Topic;
  FollowOptions Options;
  Listener Callbacks;
  net::steady_timer Timer;
  bool IsFollowing = false;
  bool HasListed = false;
  LogOffset NextOffset = 0;
  std::optional<bool> Reachable;
};

} // namespace banyanpick
