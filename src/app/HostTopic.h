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

  /// Announces this host and reads the quarantined contents, both again until
  /// the store answers.
  Task<void> join();
  /// Writes this host's record until the store accepts it, or tries once to
  /// remove it.
  Task<void> announce(bool Present);
  /// Reads the records of all hosts once.
  Task<void> readHosts();
  /// Writes or removes the record until the store accepts it.
  Task<void> storeQuarantine(StoreQuarantine Wanted);

private:
  /// Returns the records whose keys follow \p After, or nothing if the store
  /// does not answer.
  Task<std::optional<std::vector<KeyedRecord>>> read(std::string After);
  Task<void> readQuarantines();
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
};

} // namespace banyanpick
