#include "ini/IniText.h"

#include <algorithm>
#include <cstring>
#include <ini.h>

namespace banyanpick {

namespace {

/// Hands the text to inih line by line and counts the lines, which inih as
/// Debian builds it does not tell.
class LineSource {
public:
  LineSource(std::string_view Text, IniText &Into) : Rest(Text), Into(Into) {}

  /// The contract of fgets.
  char *next(char *Buffer, int Capacity) {
    if (this->Rest.empty())
      return nullptr;
    ++this->Line;
    const std::string_view Current = this->takeLine();
    const bool Fits = Current.size() + 2 <= static_cast<std::size_t>(Capacity);
    if (!Fits)
      this->Into.Problems.push_back(
          {this->Line, "is longer than " + std::to_string(Capacity - 2) +
                           " characters; break it into several lines, each "
                           "after the first with a leading blank"});
    const std::string_view Given = Fits ? Current : std::string_view("");
    std::memcpy(Buffer, Given.data(), Given.size());
    Buffer[Given.size()] = '\n';
    Buffer[Given.size() + 1] = '\0';
    return Buffer;
  }

  void take(const char *Section, const char *Key, const char *Value) {
    this->Into.Values.push_back({this->Line, Section, Key, Value ? Value : ""});
  }

private:
  std::string_view takeLine() {
    const std::size_t End = std::min(this->Rest.find('\n'), this->Rest.size());
    const std::string_view Current = this->Rest.substr(0, End);
    this->Rest.remove_prefix(std::min(End + 1, this->Rest.size()));
    return Current;
  }

  std::string_view Rest;
  IniText &Into;
  int Line = 0;
};

char *readLine(char *Buffer, int Capacity, void *Source) {
  return static_cast<LineSource *>(Source)->next(Buffer, Capacity);
}

int takeValue(void *Source, const char *Section, const char *Key,
              const char *Value) {
  static_cast<LineSource *>(Source)->take(Section, Key, Value);
  return 1;
}

} // namespace

IniText readIni(std::string_view Text) {
  IniText Result;
  LineSource Source(Text, Result);
  const int FirstBadLine =
      ini_parse_stream(readLine, &Source, takeValue, &Source);
  if (FirstBadLine > 0)
    Result.Problems.push_back(
        {FirstBadLine, "is neither [section], comment nor key = value; mend "
                       "or remove the line"});
  return Result;
}

} // namespace banyanpick
