#include "gateway/PromptSize.h"

namespace banyanpick {

PromptSize promptSize(std::uint64_t Tokens) {
  if (Tokens == 0)
    return PromptSize::None;
  if (Tokens <= ShortPromptTokens)
    return PromptSize::Short;
  return Tokens <= LongPromptTokens ? PromptSize::Middle : PromptSize::Long;
}

std::string_view name(PromptSize Size) {
  switch (Size) {
  case PromptSize::None:
    return "none";
  case PromptSize::Short:
    return "short";
  case PromptSize::Middle:
    return "middle";
  case PromptSize::Long:
    return "long";
  }
  return "unknown";
}

} // namespace banyanpick
