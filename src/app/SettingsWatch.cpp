#include "app/SettingsWatch.h"

#include "app/SettingsFile.h"
#include "base/EventNumbers.h"
#include "logging/LineLog.h"

#include <fstream>
#include <sstream>

namespace banyanpick {

namespace {

std::string textOf(const std::string &File) {
  std::ifstream Stream(File);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

} // namespace

SettingsWatch::SettingsWatch(net::io_context &Context, std::string FileGiven,
                             Duration Interval, const ProcessClock &Clock,
                             Listener OnChangeGiven)
    : Timer(Context), File(std::move(FileGiven)), Interval(Interval),
      Clock(Clock), OnChange(std::move(OnChangeGiven)),
      LastText(textOf(this->File)) {
  this->scheduleCheck();
}

void SettingsWatch::scheduleCheck() {
  this->Timer.expires_after(this->Interval);
  this->Timer.async_wait([this](const ErrorCode &Failure) {
    if (Failure)
      return;
    this->check();
    this->scheduleCheck();
  });
}

void SettingsWatch::check() {
  std::string Text = textOf(this->File);
  // A file that is being replaced may be temporarily empty or missing.
  if (Text.empty() || Text == this->LastText)
    return;
  this->LastText = std::move(Text);
  std::vector<SettingsProblem> Problems;
  const auto Changed = readDaemonSettings(this->LastText, Problems);
  if (!Changed) {
    const std::string Why =
        Problems.empty() ? "unreadable" : Problems.front().Message;
    writeLogLine(logEvent(events::SettingsRejected).with("why", Why).build(),
                 this->Clock.now());
    return;
  }
  writeLogLine(logEvent(events::SettingsReloaded).build(), this->Clock.now());
  this->OnChange(std::make_shared<const Settings>(*Changed));
}

} // namespace banyanpick
