#pragma once

#include <LibBase/LastReason.h>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace radishcross::log {

/// Reads typed values from one JSON object of the log. The first error is kept
/// and a failed read returns an empty value, so that the caller checks once,
/// with finish().
class BodyReader {
public:
  explicit BodyReader(const boost::json::value &body);

  /// Returns a string of at most \p maximumBytes; textOr() returns \p fallback
  /// if the key is missing.
  std::string text(std::string_view key, size_t maximumBytes);
  std::string textOr(std::string_view key, size_t maximumBytes,
                     std::string_view fallback);

  /// Returns a string for which config::isName() holds.
  std::string name(std::string_view key);

  /// Returns an unsigned integer of at most \p maximum.
  uint64_t number(std::string_view key, uint64_t maximum = UINT64_MAX);
  bool flag(std::string_view key);

  /// Returns the value at \p key, or a null pointer if the key is missing.
  const boost::json::value *optional(std::string_view key);

  /// Returns the value at \p key, or a JSON null if the key is missing.
  const boost::json::value &any(std::string_view key);

  /// Returns the array at \p key, or an empty one if the key is missing.
  const boost::json::array &list(std::string_view key);

  /// Reports an error that the caller found.
  void fail(std::string_view key, std::string_view expected);

  /// Returns whether all reads succeeded and the object has no other keys;
  /// otherwise fails with RecordMalformed.
  bool finish(base::LastReason &reason);

private:
  const boost::json::value *require(std::string_view key);

  const boost::json::object *Object;
  std::set<std::string_view> KeysRead;
  std::string FirstError;
};

} // namespace radishcross::log
