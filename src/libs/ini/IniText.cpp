#include "ini/IniText.h"

#include "base/Text.h"

#include <algorithm>
#include <cstring>
#include <ini.h>

namespace banyanpick {

namespace {

/// inih truncates longer section names silently.
constexpr std::size_t MaxSectionLength = 49;
constexpr std::string_view Whitespace = " \t";

/// Passes the text to inih line by line and counts the lines, because inih as
/// built by Debian does not report line numbers.
class LineSource {
public:
  LineSource(std::string_view Text, IniText &Result)
      : Remaining(Text), Result(Result) {}

  /// Has the contract of fgets().
  char *next(char *Buffer, int Capacity) {
    this->checkValueWasRead();
    if (this->Remaining.empty())
      return nullptr;
    ++this->Line;
    const std::string_view Current = this->takeLine();
    const bool Usable =
        this->check(Current, static_cast<std::size_t>(Capacity));
    const std::string_view Accepted = Usable ? Current : std::string_view("");
    this->IsContinuation =
        !Accepted.empty() && Whitespace.find(Accepted[0]) != Whitespace.npos;
    this->ExpectsValue = this->requiresValue(trimmed(Accepted));
    std::memcpy(Buffer, Accepted.data(), Accepted.size());
    Buffer[Accepted.size()] = '\n';
    Buffer[Accepted.size() + 1] = '\0';
    return Buffer;
  }

  void addValue(std::string_view Section, std::string_view Key,
                std::string_view Value) {
    this->ExpectsValue = false;
    auto &Values = this->Result.Values;
    const bool ExtendsLast = this->IsContinuation && !Values.empty() &&
                             Values.back().Section == Section &&
                             Values.back().Key == Key;
    if (ExtendsLast)
      Values.back().Value += " " + std::string(Value);
    else
      Values.push_back({this->Line, std::string(Section), std::string(Key),
                        std::string(Value)});
  }

private:
  std::string_view takeLine() {
    const std::size_t End =
        std::min(this->Remaining.find('\n'), this->Remaining.size());
    const std::string_view Current = this->Remaining.substr(0, End);
    this->Remaining.remove_prefix(std::min(End + 1, this->Remaining.size()));
    return Current;
  }

  /// Returns whether the line can be passed to inih. Adds a problem if not.
  bool check(std::string_view Current, std::size_t Capacity) {
    if (Current.size() + 2 > Capacity) {
      this->addProblem("is longer than " + std::to_string(Capacity - 2) +
                       " characters; break it into several lines, each after "
                       "the first with a leading blank");
      return false;
    }
    if (Current.find('\0') != std::string_view::npos) {
      this->addProblem("holds a zero byte; remove it");
      return false;
    }
    return true;
  }

  /// Returns whether inih must find a value in the line. Records sections.
  bool requiresValue(std::string_view Text) {
    if (Text.empty() || Text[0] == ';' || Text[0] == '#')
      return false;
    const std::size_t End = Text.find(']');
    if (Text[0] != '[' || End == std::string_view::npos)
      return true;
    const std::string_view Name = Text.substr(1, End - 1);
    if (Name.size() > MaxSectionLength)
      this->addProblem("names a section longer than " +
                       std::to_string(MaxSectionLength) +
                       " characters; shorten the name");
    this->Result.Sections.push_back({this->Line, std::string(Name)});
    return false;
  }

  /// Adds a problem if inih found no value in the last line. inih itself
  /// reports only the first line that it can't read.
  void checkValueWasRead() {
    if (this->ExpectsValue)
      this->addProblem("is neither [section], comment nor key = value; correct "
                       "or remove the line");
    this->ExpectsValue = false;
  }

  void addProblem(std::string Message) {
    this->Result.Problems.push_back({this->Line, std::move(Message)});
  }

  std::string_view Remaining;
  IniText &Result;
  int Line = 0;
  bool IsContinuation = false;
  bool ExpectsValue = false;
};

char *readLine(char *Buffer, int Capacity, void *Source) {
  return static_cast<LineSource *>(Source)->next(Buffer, Capacity);
}

int takeValue(void *Source, const char *Section, const char *Key,
              const char *Value) {
  static_cast<LineSource *>(Source)->addValue(Section, Key, Value ? Value : "");
  return 1;
}

} // namespace

IniText readIni(std::string_view Text) {
  IniText Result;
  LineSource Source(Text, Result);
  ini_parse_stream(readLine, &Source, takeValue, &Source);
  return Result;
}

} // namespace banyanpick
