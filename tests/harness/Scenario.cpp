#include "harness/Scenario.h"

#include "base/Error.h"
#include "settings/SettingValue.h"

#include <algorithm>
#include <sstream>

namespace banyanpick {

const std::string &Statement::word(std::size_t Position) const {
  if (Position >= this->Words.size())
    this->fail("a word is missing after '" + this->Words.back() + "'");
  return this->Words[Position];
}

std::optional<std::string> Statement::after(std::string_view Keyword) const {
  const auto Found = std::find(this->Words.begin(), this->Words.end(), Keyword);
  if (Found == this->Words.end())
    return std::nullopt;
  return this->word(static_cast<std::size_t>(Found - this->Words.begin()) + 1);
}

std::string Statement::after(std::string_view Keyword,
                             std::string_view Default) const {
  return this->after(Keyword).value_or(std::string(Default));
}

std::uint64_t Statement::number(std::string_view Keyword,
                                std::uint64_t Default) const {
  const auto Text = this->after(Keyword);
  if (!Text)
    return Default;
  const auto Value = parseNumber(SettingKind::Whole, *Text);
  if (!Value)
    this->fail("'" + *Text + "' is not a whole number");
  return static_cast<std::uint64_t>(*Value);
}

bool Statement::has(std::string_view Word) const {
  return std::find(this->Words.begin(), this->Words.end(), Word) !=
         this->Words.end();
}

std::vector<std::string>
Statement::names(std::size_t First, std::vector<std::string_view> Ends) const {
  std::vector<std::string> Result;
  for (std::size_t Position = First; Position < this->Words.size();
       ++Position) {
    if (std::find(Ends.begin(), Ends.end(), this->Words[Position]) !=
        Ends.end())
      break;
    Result.push_back(this->Words[Position]);
  }
  return Result;
}

void Statement::fail(std::string_view Problem) const {
  throw Error(ErrorKind::BadInput,
              "line " + std::to_string(this->Line) + ": " +
                  std::string(Problem),
              "see docs/SCENARIOS.md");
}

Duration parseDuration(const Statement &Source, const std::string &Text) {
  const auto Value = parseNumber(SettingKind::Span, Text);
  if (!Value)
    Source.fail("'" + Text + "' is not a duration such as 250ms or 3s");
  return Duration(static_cast<Duration::rep>(*Value));
}

std::vector<Statement> parseScenario(std::string_view Text) {
  std::vector<Statement> Result;
  std::istringstream Lines{std::string(Text)};
  std::string Line;
  for (int Number = 1; std::getline(Lines, Line); ++Number) {
    Statement Next;
    Next.Line = Number;
    std::istringstream Words(Line.substr(0, Line.find('#')));
    for (std::string Word; Words >> Word;)
      Next.Words.push_back(Word);
    if (Next.Words.empty())
      continue;
    if (Next.Words[0] == "at") {
      Next.At = parseDuration(Next, Next.word(1));
      Next.word(2);
      Next.Words.erase(Next.Words.begin(), Next.Words.begin() + 2);
    }
    Result.push_back(std::move(Next));
  }
  std::stable_sort(Result.begin(), Result.end(),
                   [](const Statement &First, const Statement &Second) {
                     return First.At < Second.At;
                   });
  return Result;
}

} // namespace banyanpick
