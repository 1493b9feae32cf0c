#include "app/PeerEvents.h"

#include "base/EventNumbers.h"
#include "logging/LineLog.h"

namespace banyanpick {

namespace {

/// A host with more queued events drops the messages of peers. Peers repeat
/// important messages, and messages that waited for seconds are not worth the
/// memory.
constexpr std::size_t MaxWaitingEvents = 4096;

} // namespace

PeerNetwork::Listener peerEvents(Control &Events, Metrics &HostMetrics,
                                 const ProcessClock &Clock) {
  return {
      [&Events, &HostMetrics](PeerMessage Message, std::size_t Bytes) {
        if (Events.waiting() >= MaxWaitingEvents) {
          HostMetrics.record(
              {RecordMeasurement::Kind::Count, "peer_messages_dropped", "", 1});
          return;
        }
        Events.send(PeerMessageReceived{std::move(Message)}, Bytes);
      },
      [&HostMetrics, &Clock](std::string_view Why) {
        HostMetrics.record(
            {RecordMeasurement::Kind::Count, "peer_messages_malformed", "", 1});
        writeLogLine(logEvent(events::BadPeerMessage).with("why", Why).build(),
                     Clock.now());
      }};
}

} // namespace banyanpick
