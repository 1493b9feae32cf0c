/// \file
/// The commands of the command line with their help.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace banyanpick::tools {

/// The help of one command.
struct CommandHelp {
  std::string_view Name;
  std::string_view Arguments; ///< For example `FILE`; may be empty.
  std::size_t ArgumentCount;
  std::string_view Flags; ///< Flags beside the common ones.
  std::string_view Summary;
  std::string_view Text; ///< Details, with line breaks.
};

std::span<const CommandHelp> allCommands();

/// Returns the command \p Name, or null if there is none.
const CommandHelp *findCommand(std::string_view Name);

/// Returns the help text with all commands, exit codes and common flags.
std::string overview();

/// Returns the help text of one command.
std::string commandHelp(const CommandHelp &Command);

} // namespace banyanpick::tools
