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

/// Selects nodes by their labels, and optionally a stable percentage of those.
/// Text form: `tier=edge, region in (south, west), !canary, 20%`. An empty text
/// selects every node.
class Selector {
public:
  /// Parses the text form. Fails with BadSelector; the reason gives the column,
  /// counted from 1.
  static std::optional<Selector> create(std::string_view text,
                                        base::LastReason &reason);

  /// Returns true if a node is selected. The percentage is decided by a hash of
  /// the node's id alone, so that raising it never deselects a node.
  bool matches(std::string_view nodeId, const Labels &labels) const;

  /// Returns the normalised text form.
  std::string text() const;

private:
  std::vector<Requirement> Requirements;
  uint32_t ShareBasisPoints = 10000; ///< Percentage in steps of 0.01.
};

} // namespace radishcross::config
