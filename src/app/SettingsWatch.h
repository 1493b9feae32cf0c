/// \file
/// Detects changes of the settings file.
#pragma once

#include "app/ProcessClock.h"
#include "http/Asio.h"
#include "settings/Settings.h"

#include <functional>
#include <memory>
#include <string>

namespace banyanpick {

/// Polls the file, because it may change without a signal. An invalid file is
/// logged and the current settings stay in force. Used on the thread of its
/// context.
class SettingsWatch {
public:
  using Listener = std::function<void(std::shared_ptr<const Settings>)>;

  SettingsWatch(net::io_context &Context, std::string File, Duration Interval,
                const ProcessClock &Clock, Listener OnChange);

  /// Reads the file and calls the listener if it changed.
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
