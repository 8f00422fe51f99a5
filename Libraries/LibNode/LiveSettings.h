#pragma once

#include <LibAdmin/NodeSettings.h>
#include <LibAdmin/SettingsDifference.h>
#include <LibBase/LastReason.h>

#include <string>
#include <string_view>

namespace radishcross::node {

/// What became of a text of the settings file.
struct SettingsUpdate {
  enum class Kind : uint8_t {
    Unchanged, ///< The text that was read last.
    Rejected,  ///< Bad; the settings in force stay.
    Applied,   ///< inForce() has what can change while the node runs.
  };
  Kind What = Kind::Unchanged;
  admin::SettingsDifference Difference; ///< To what was in force.
};

/// Decides what a changed settings file does to a node that runs.
class LiveSettings {
public:
  explicit LiveSettings(admin::NodeSettings inForce)
      : InForce(std::move(inForce)) {}

  /// Takes the file's text, as often as it is read; \p reason is set where it
  /// is refused, which is said once for one text.
  SettingsUpdate update(std::string_view text, base::LastReason &reason);

  const admin::NodeSettings &inForce() const { return InForce; }

private:
  admin::NodeSettings InForce;
  std::string LastText;
};

} // namespace radishcross::node
