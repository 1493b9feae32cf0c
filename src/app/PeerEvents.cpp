#include "app/PeerEvents.h"

#include "app/OverloadFilter.h"
#include "base/EventNumbers.h"
#include "logging/LineLog.h"

#include <memory>

namespace banyanpick {

namespace {

/// A host with more queued events is overloaded. Messages that waited for
/// seconds are not worth the memory.
constexpr std::size_t MaxWaitingEvents = 4096;

RecordMeasurement countOf(std::string_view Name) {
  return {RecordMeasurement::Kind::Count, Name, "", 1};
}

} // namespace

PeerNetwork::Listener peerEvents(Control &Events, Metrics &HostMetrics,
                                 const ProcessClock &Clock) {
  const auto Filter = std::make_shared<OverloadFilter>();
  return {[&Events, &HostMetrics, &Clock, Filter](PeerMessage Message,
                                                  std::size_t Bytes) {
            const Time Now = Clock.now();
            const bool IsOverloaded = Events.waiting() >= MaxWaitingEvents;
            if (IsOverloaded && !Filter->accept(Message, Now)) {
              HostMetrics.record(countOf("peer_messages_dropped"));
              return;
            }
            Events.send(PeerMessageReceived{std::move(Message), Now}, Bytes);
          },
          [&HostMetrics, &Clock](std::string_view Why) {
            HostMetrics.record(countOf("peer_messages_malformed"));
            writeLogLine(
                logEvent(events::BadPeerMessage).with("why", Why).build(),
                Clock.now());
          }};
}

} // namespace banyanpick
