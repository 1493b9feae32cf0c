#include "plugins/reclaim/ReclaimPlugin.h"

#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

namespace {

constexpr Duration RetryInterval = seconds(1);
constexpr Duration GiveUpAfterDeadline = seconds(60);

} // namespace

void ReclaimPlugin::initialize(PluginContext &Context) {
  this->Fleet = &Context.services().get<FleetView>();
  Context.services().provide<AttemptCanceller>(*this);
}

void ReclaimPlugin::handle(const Event &What, Time Now, Actions &Out) {
  match(
      What,
      [&](const CancelAnswered &Answer) {
        if (Answer.Confirmed)
          this->Cancels.erase(Answer.Attempt);
      },
      [](const auto &) {});
  this->repeat(Now, Out);
}

Time ReclaimPlugin::nextWake() const {
  Time Earliest = Never;
  for (const auto &[Id, Each] : this->Cancels)
    Earliest = std::min(Earliest, Each.NextTry);
  return Earliest;
}

void ReclaimPlugin::cancel(const AttemptId &Id, const UpstreamId &Where,
                           Time Deadline, Time Now, Actions &Out) {
  Pending &Of = this->Cancels[Id];
  Of.Where = Where;
  Of.GiveUpAt = std::max(Deadline, Now) + GiveUpAfterDeadline;
  this->send(Id, Of, Now, Out);
}

void ReclaimPlugin::send(const AttemptId &Id, Pending &Of, Time Now,
                         Actions &Out) {
  Of.NextTry = Now + RetryInterval;
  if (const Upstream *Known = this->Fleet->find(Of.Where))
    Out.add(CancelAttempt{Id, Of.Where, Known->Listing.At});
}

void ReclaimPlugin::repeat(Time Now, Actions &Out) {
  std::erase_if(this->Cancels,
                [&](const auto &Each) { return Each.second.GiveUpAt <= Now; });
  for (auto &[Id, Each] : this->Cancels)
    if (Each.NextTry <= Now)
      this->send(Id, Each, Now, Out);
}

namespace {

std::vector<SettingDeclaration> settings() { return {}; }

const PluginRegistration
    Registration({"reclaim",
                  {"fleet", "membership"},
                  settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<ReclaimPlugin>();
                  }});

} // namespace

} // namespace banyanpick
