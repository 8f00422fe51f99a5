#pragma once

#include <LibBase/LastReason.h>
#include <LibConfig/Labels.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::config {

/// One condition on a label.
struct Requirement {
  enum class Operator : uint8_t { Equal, NotEqual, In, NotIn, Exists, Missing };
  std::string Key;
  Operator Comparison = Operator::Exists;
  std::vector<std::string> Values;
};

/// Chooses nodes by labels and by a stable share of them. Text form:
/// `tier=edge, region in (south, west), !canary, 20%`. An empty text selects
/// every node.
class Selector {
public:
  /// Fails with BadSelector; the reason gives the column.
  static std::optional<Selector> create(std::string_view text,
                                        base::LastReason &reason);

  /// Tells whether a node is selected. The share is decided by a hash of the
  /// node's id alone, so a wider share holds all that a narrower one held.
  bool matches(std::string_view nodeId, const Labels &labels) const;

  /// Returns the text form, normalised.
  std::string text() const;

private:
  std::vector<Requirement> Requirements;
  uint32_t ShareBasisPoints = 10000; ///< Hundredths of a percent.
};

} // namespace radishcross::config
