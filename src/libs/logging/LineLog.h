/// \file
/// Writes log events as lines to standard output.
#pragma once

#include "base/LogEvent.h"
#include "base/Time.h"
#include "settings/Settings.h"

#include <string>
#include <vector>

namespace banyanpick {

/// The settings of section [logging].
std::vector<SettingDeclaration> loggingSettings();

/// Omits lines below the level set in \p Values from now on, in the whole
/// process. Must be called before other threads write.
void configureLog(const Settings &Values);

/// Writes the line to standard output. Thread-safe. Never blocks on a slow
/// reader: lines that do not fit into the pipe are dropped and counted.
void writeLogLine(const LogEvent &Line, Time Now);

/// Returns the line without the line break:
/// `2026-12-02T18:44:37.123456Z info 202 "request routed" upstream=e1`.
/// Values with spaces, quotes, backslashes, equals signs or control characters
/// are quoted and escaped, and long values are truncated. The value of a field
/// whose name indicates a secret is written as `***`.
std::string formatLogLine(const LogEvent &Line, Time Now);

} // namespace banyanpick
