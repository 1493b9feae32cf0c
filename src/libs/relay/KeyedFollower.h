/// \file
/// Follows one topic of the store.
#pragma once

#include "relay/OrderedStore.h"

#include <functional>
#include <memory>
#include <span>

namespace banyanpick {

/// How a topic is followed.
struct FollowOptions {
  Duration MinInterval{};       ///< Between the starts of two reads.
  Duration Wait{};              ///< How long a read waits for a record.
  Duration InitialRetryDelay{}; ///< After a failure; doubles with each.
  Duration MaxRetryDelay{};
};

/// Lists all keys, then reads what is written from there on. Starts over when
/// records were lost before they were read. Tries again for ever.
class KeyedFollower : public std::enable_shared_from_this<KeyedFollower> {
public:
  /// What it tells; called on the executor's thread.
  struct Listener {
    /// \p Complete: these are all keys that there are, as of \p UpTo.
    std::function<void(std::span<const KeyedRecord> Records, bool Complete,
                       LogOffset UpTo)>
        OnRecords;
    std::function<void(bool Reachable, std::string_view Reason)> OnReachable;
  };

  KeyedFollower(const net::any_io_executor &Executor, OrderedStore &Store,
                StoreTopic Topic, FollowOptions Options, Listener Callbacks);

  void start();
  /// Goes on reading from where it was, or ends after the read under way.
  void setFollowing(bool Enabled);

private:
  Task<void> run();
  /// False: it failed.
  Task<bool> list();
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
  bool IsFollowing = true;
  bool HasListed = false;
  LogOffset NextOffset = 0;
  std::optional<bool> Reachable;
};

} // namespace banyanpick
