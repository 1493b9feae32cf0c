/// \file
/// Checks the table of the platform's signals in docs/PROTOCOLS.md: each signal
/// is either handled, which an existing test proves, or has a reason why it is
/// not. Guards against a signal that the platform defines and no code handles.
#include "base/Error.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

namespace banyanpick::platform {
namespace {

struct Signal {
  std::string Name;
  std::string HandledBy;
  std::string Test; ///< `Suite.Case`; empty when the signal is not handled.
};

std::string textOf(const std::filesystem::path &File) {
  std::ifstream Stream(File);
  return {std::istreambuf_iterator<char>(Stream), {}};
}

std::string trimmed(const std::string &Text) {
  const std::size_t First = Text.find_first_not_of(' ');
  if (First == std::string::npos)
    return "";
  return Text.substr(First, Text.find_last_not_of(' ') - First + 1);
}

/// Returns the rows of the table under the heading of signals.
std::vector<Signal> signals() {
  std::ifstream Stream(std::string(BANYANPICK_ROOT) + "/docs/PROTOCOLS.md");
  std::vector<Signal> Result;
  bool IsInTable = false;
  for (std::string Line; std::getline(Stream, Line);) {
    if (Line.starts_with("## "))
      IsInTable = Line == "## The users' platform: its signals";
    if (!IsInTable || !Line.starts_with("| `"))
      continue;
    std::vector<std::string> Cells;
    std::istringstream Row(Line.substr(1));
    for (std::string Cell; std::getline(Row, Cell, '|');)
      Cells.push_back(trimmed(Cell));
    constexpr std::size_t Columns = 4;
    if (Cells.size() >= Columns)
      Result.push_back(
          {Cells[0].substr(1, Cells[0].size() - 2), Cells[2], Cells[3]});
  }
  return Result;
}

/// Returns all sources below the folder as one text.
std::string sourcesOf(const std::string &Folder) {
  std::string Result;
  for (const auto &File : std::filesystem::recursive_directory_iterator(
           std::string(BANYANPICK_ROOT) + "/" + Folder))
    if (File.path().extension() == ".cpp" || File.path().extension() == ".h")
      Result += textOf(File.path());
  return Result;
}

bool containsTest(const std::string &Text, const std::string &Test) {
  const std::size_t Dot = Test.find('.');
  return Text.find("(" + Test.substr(0, Dot) + ", " + Test.substr(Dot + 1) +
                   ")") != std::string::npos;
}

class Signals : public testing::TestWithParam<Signal> {};

TEST_P(Signals, AreHeededOrHaveAReasonWhyNot) {
  const Signal &Param = GetParam();
  if (Param.HandledBy.starts_with("nothing: ")) {
    EXPECT_GT(Param.HandledBy.size(), std::string("nothing: because").size());
    EXPECT_TRUE(Param.Test.empty());
    return;
  }
  EXPECT_FALSE(Param.HandledBy.empty() || Param.HandledBy == "missing")
      << Param.Name << " is defined by the platform and handled by no code";
  EXPECT_TRUE(containsTest(sourcesOf("tests"), Param.Test))
      << "there is no test " << Param.Test;
}

INSTANTIATE_TEST_SUITE_P(All, Signals, testing::ValuesIn(signals()),
                         [](const auto &Param) {
                           std::string Result = Param.param.Name;
                           std::erase(Result, '-');
                           return Result;
                         });

TEST(SignalsTable, NamesEveryHeaderThatTheAdapterKnows) {
  const std::string Names =
      textOf(std::string(BANYANPICK_ROOT) + "/platform/WireNames.h");
  const std::vector<Signal> Documented = signals();
  std::size_t Count = 0;
  const std::size_t End = Names.find("namespace path");
  for (std::size_t At = Names.find("= \""); At < End;
       At = Names.find("= \"", At + 1)) {
    const std::size_t From = At + 3;
    const std::string Name = Names.substr(From, Names.find('"', From) - From);
    ++Count;
    EXPECT_TRUE(std::ranges::any_of(Documented, [&](const Signal &Entry) {
      return Entry.Name == Name;
    })) << Name;
  }
  EXPECT_GT(Count, 10U);
}

} // namespace
} // namespace banyanpick::platform
