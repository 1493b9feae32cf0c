/// \file
/// Log events as lines on standard output.
#pragma once

#include "base/LogEvent.h"
#include "base/Time.h"
#include "settings/Settings.h"

#include <string>
#include <vector>

namespace banyanpick {

/// The settings of section [logging].
std::vector<SettingDeclaration> loggingSettings();

/// Lines below the level set in \p Values are left out from now on, in the
/// whole process. Call it before other threads write.
void configureLog(const Settings &Values);

/// Writes the line to standard output; may be called from any thread. Never
/// waits for a reader: lines that find no room are counted and left out.
void writeLogLine(const LogEvent &Line, Time Now);

/// The line without its end:
/// `2026-12-02T18:44:37.123456Z info 202 "request routed" upstream=e1`.
/// Values with blanks, quotes or control characters are quoted and escaped;
/// overlong ones are cut. A field that by its name holds a secret is
/// written as `***`.
std::string formatLogLine(const LogEvent &Line, Time Now);

} // namespace banyanpick
