#pragma once

#include <LibBase/LastReason.h>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace radishcross::log {

/// Reads the keys of one JSON object from the log by type. The first defect is
/// kept and later reads give empty values, so that a reader checks once.
class BodyReader {
public:
  explicit BodyReader(const boost::json::value &body);

  /// Returns a text of at most \p maximumBytes.
  std::string text(std::string_view key, size_t maximumBytes);
  std::string textOr(std::string_view key, size_t maximumBytes,
                     std::string_view fallback);

  /// Returns a name in the sense of config::isName().
  std::string name(std::string_view key);

  /// Returns a whole number of at most \p maximum.
  uint64_t number(std::string_view key, uint64_t maximum = UINT64_MAX);
  bool flag(std::string_view key);

  /// Returns the value at \p key, or null where it is missing.
  const boost::json::value *optional(std::string_view key);

  /// Returns the value at \p key; a null value where it is missing.
  const boost::json::value &any(std::string_view key);

  /// Returns the array at \p key; an empty one where it is missing.
  const boost::json::array &list(std::string_view key);

  /// Notes a defect found by the caller.
  void fail(std::string_view key, std::string_view expected);

  /// Tells whether all reads succeeded and no key was left over; otherwise
  /// fails with RecordMalformed.
  bool finish(base::LastReason &reason);

private:
  const boost::json::value *require(std::string_view key);

  const boost::json::object *Object;
  std::set<std::string_view> KeysRead;
  std::string FirstError;
};

} // namespace radishcross::log
