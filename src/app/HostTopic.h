/// \file
/// The topic of the store in which the entry hosts keep their records.
#pragma once

#include "app/GatewayContext.h"
#include "gateway/GatewayEvent.h"
#include "relay/OrderedStore.h"

#include <optional>
#include <span>
#include <vector>

namespace banyanpick {

/// Keeps this host's record and those of quarantined contents, and reads the
/// records of all hosts. Used on the thread of its executor.
class HostTopic {
public:
  HostTopic(const net::any_io_executor &Executor, OrderedStore &Store,
            const GatewayContext &Context)
      : Executor(Executor), Store(Store), Context(Context) {}

  /// Writes this host's record until the store accepts it, or tries once to
  /// remove it if it was written.
  Task<void> announce(bool Present);
  /// Reads the quarantined contents, again until the store answers. Does so
  /// only once; later quarantines come from peers.
  Task<void> readQuarantines();
  /// Reads the records of all hosts once.
  Task<void> readHosts();
  /// Writes or removes the record until the store accepts it.
  Task<void> storeQuarantine(StoreQuarantine Wanted);

private:
  /// Returns the records whose keys follow \p After, or nothing if the store
  /// does not answer.
  Task<std::optional<std::vector<KeyedRecord>>> read(std::string After);
  /// Sends the contents of the records to control.
  void takeQuarantines(std::span<const KeyedRecord> Records);
  /// Repeats the append until the store accepts it. Each attempt is counted
  /// under \p Metric.
  Task<void> append(KeyedRecord Record, std::string_view Metric);
  /// Returns whether the store accepted the record.
  Task<bool> tryAppend(KeyedRecord Record, std::string_view Metric);
  /// Pauses for \p Retry and doubles it, up to the longest delay.
  Task<void> pause(Duration &Retry) const;

  net::any_io_executor Executor;
  OrderedStore &Store;
  const GatewayContext &Context;
  bool IsAnnounced = false;
  bool HasReadQuarantines = false;
};

} // namespace banyanpick
