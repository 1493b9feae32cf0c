/// \file
/// Notices that the settings file has changed.
#pragma once

#include "app/ProcessClock.h"
#include "http/Asio.h"
#include "settings/Settings.h"

#include <functional>
#include <memory>
#include <string>

namespace banyanpick {

/// Looks at the file now and then, as it may change without a signal. A file
/// that is wrong is logged and the old settings stay. Used on the thread of
/// its context.
class SettingsWatch {
public:
  using Listener = std::function<void(std::shared_ptr<const Settings>)>;

  SettingsWatch(net::io_context &Context, std::string File, Duration Interval,
                const ProcessClock &Clock, Listener OnChange);

  /// Reads the file now.
  void check();

private:
  void scheduleCheck();

  net::steady_timer Timer;
  std::string File;
  Duration Interval;
  const ProcessClock &Clock;
  Listener OnChange;
  std::string LastText;
};

} // namespace banyanpick
