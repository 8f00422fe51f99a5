#include <LibConfig/Names.h>

#include <algorithm>

namespace radishcross::config {

namespace {

bool isLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool isNameCharacter(char c) {
  return isLetterOrDigit(c) || c == '-' || c == '_' || c == '.';
}

} // namespace

bool isName(std::string_view text) {
  return !text.empty() && text.size() <= MaximumNameBytes &&
         isLetterOrDigit(text.front()) &&
         std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isServiceReference(std::string_view text) {
  size_t slash = text.find('/');
  if (slash == std::string_view::npos)
    return isName(text);
  return isName(text.substr(0, slash)) && isName(text.substr(slash + 1));
}

} // namespace radishcross::config
