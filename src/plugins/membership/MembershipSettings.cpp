/// \file
/// Declares the settings of section [membership].
#include "plugins/membership/MembershipPlugin.h"

namespace banyanpick {

std::vector<SettingDeclaration> MembershipPlugin::settings() {
  const std::string Section = "membership";
  return {{.Section = Section,
           .Key = "discovery",
           .Kind = SettingKind::Choice,
           .Default = "list",
           .Help = "How entry hosts find each other: only as the host list "
                   "says, or by hearing of each other from seeds and peers, "
                   "too.",
           .Choices = {"list", "gossip"}},
          {Section, "seeds", SettingKind::Text, "",
           "Where peers may be found at the start (ip:port, divided by "
           "commas); for discovery by gossip."},
          {Section, "host_list_interval", SettingKind::Span, "1s",
           "How often the platform's host list is read.", 50e3, 60e6},
          {Section, "heartbeat_interval", SettingKind::Span, "500ms",
           "How often heartbeats are sent to other entry hosts.", 50e3, 10e6},
          {Section, "full_mesh_hosts", SettingKind::Whole, "16",
           "Up to so many entry hosts, each sends heartbeats to every other.",
           1, 1024},
          {Section, "fanout", SettingKind::Whole, "2",
           "With more entry hosts, how many are sent a heartbeat at each "
           "interval.",
           1, 64},
          {Section, "rumours_per_heartbeat", SettingKind::Whole, "4",
           "How much news of other hosts one heartbeat carries.", 1, 64},
          {Section, "suspect_after", SettingKind::Span, "2s",
           "A host that leaves a heartbeat unanswered for so long is "
           "suspected.",
           200e3, 60e6},
          {Section, "dead_after", SettingKind::Span, "3s",
           "A suspected host that does not answer for so long is taken for "
           "dead; longer with more than ten hosts.",
           200e3, 600e6},
          {Section, "forget_after", SettingKind::Span, "10min",
           "A dead host out of the host list is forgotten after so long.", 1e6,
           86400e6}};
}

} // namespace banyanpick
