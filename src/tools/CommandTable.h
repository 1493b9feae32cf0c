/// \file
/// The commands of the command line with their help.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace banyanpick::tools {

/// One command as --help shows it.
struct CommandHelp {
  std::string_view Name;
  std::string_view Arguments; ///< Such as `FILE`; empty: none.
  std::size_t ArgumentCount;
  std::string_view Flags; ///< Those it reads, beside the common ones.
  std::string_view Summary;
  std::string_view Text; ///< More to say; lines are broken already.
};

std::span<const CommandHelp> allCommands();

/// The command of this name, or null.
const CommandHelp *findCommand(std::string_view Name);

/// All commands, exit codes and common flags.
std::string overview();

/// The help of one command.
std::string commandHelp(const CommandHelp &Command);

} // namespace banyanpick::tools
