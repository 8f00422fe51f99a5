#include <LibConfig/RouteIndex.h>

#include <algorithm>

namespace radishcross::config {

namespace {

using Methods = std::vector<std::string>;

bool contains(const Methods &methods, std::string_view method) {
  return std::find(methods.begin(), methods.end(), method) != methods.end();
}

bool methodsOverlap(const Methods &a, const Methods &b) {
  if (a.empty() || b.empty())
    return a.empty() && b.empty();
  return std::any_of(a.begin(), a.end(),
                     [&](const auto &it) { return contains(b, it); });
}

size_t countSegments(std::string_view path) {
  return path == "/" ? 0 : std::count(path.begin(), path.end(), '/');
}

} // namespace

std::string normaliseHost(std::string_view host) {
  size_t bracket = host.rfind(']');
  size_t colon = host.rfind(':');
  if (colon != std::string_view::npos &&
      (bracket == std::string_view::npos || colon > bracket))
    host = host.substr(0, colon);
  std::string out(host);
  for (char &c : out)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  return out;
}

namespace {

/// Truncates \p path to at most \p segments segments, so that looking up a path
/// with very many segments costs no more than the deepest prefix.
std::string_view truncateToSegments(std::string_view path, size_t segments) {
  size_t at = 0;
  for (size_t i = 0; i <= segments; ++i) {
    at = path.find('/', i == 0 ? 0 : at + 1);
    if (at == std::string_view::npos)
      return path;
  }
  return path.substr(0, std::max<size_t>(at, 1));
}

} // namespace

const Route *RouteIndex::add(const Entry &entry) {
  const auto &match = entry.Matched->Match;
  auto &entries = ByPrefix[match.PathPrefix][match.Host];
  for (const auto &it : entries)
    if (methodsOverlap(it.Matched->Match.Methods, match.Methods))
      return it.Matched;
  // Routes with methods precede the one without.
  entries.insert(match.Methods.empty() ? entries.end() : entries.begin(),
                 entry);
  MaximumSegments = std::max(MaximumSegments, countSegments(match.PathPrefix));
  return nullptr;
}

/// Returns the entry for the prefix of \p length bytes. The same prefix with a
/// trailing slash is longer and therefore tried first.
const RouteIndex::Entry *
RouteIndex::findWithOptionalSlash(std::string_view path, size_t length,
                                  std::string_view method,
                                  std::string_view host) const {
  if (length < path.size() && path[length] == '/')
    if (const auto *entry =
            findByPrefix(path.substr(0, length + 1), method, host))
      return entry;
  return findByPrefix(path.substr(0, length), method, host);
}

const RouteIndex::Entry *RouteIndex::findByPrefix(std::string_view prefix,
                                                  std::string_view method,
                                                  std::string_view host) const {
  auto hosts = ByPrefix.find(prefix);
  if (hosts == ByPrefix.end())
    return nullptr;
  const std::string_view candidates[] = {host, std::string_view()};
  for (auto candidate : candidates) {
    auto entries = hosts->second.find(candidate);
    if (entries == hosts->second.end())
      continue;
    for (const auto &it : entries->second) {
      const auto &methods = it.Matched->Match.Methods;
      if (methods.empty() || contains(methods, method))
        return &it;
    }
  }
  return nullptr;
}

const RouteIndex::Entry *RouteIndex::find(std::string_view method,
                                          std::string_view host,
                                          std::string_view path) const {
  path = path.substr(0, path.find_first_of("?#"));
  if (path.empty() || path[0] != '/')
    return nullptr;
  std::string name = normaliseHost(host);
  std::string_view prefix = truncateToSegments(path, MaximumSegments);
  while (prefix.size() > 1) {
    if (const auto *entry =
            findWithOptionalSlash(path, prefix.size(), method, name))
      return entry;
    prefix = prefix.substr(0, prefix.rfind('/'));
  }
  return findByPrefix("/", method, name);
}

} // namespace radishcross::config
