#pragma once

#include <LibAdmin/NodeSettings.h>
#include <LibAdmin/SettingsDifference.h>
#include <LibBase/LastReason.h>

#include <string>
#include <string_view>

namespace radishcross::node {

/// The result of reading the settings file.
struct SettingsUpdate {
  enum class Kind : uint8_t {
    Unchanged, ///< The same text as at the last read.
    Rejected,  ///< Invalid; the settings in force stay.
    Applied,   ///< inForce() has the settings that can change live.
  };
  Kind What = Kind::Unchanged;
  admin::SettingsDifference Difference; ///< From the settings before.
};

/// Holds a running node's settings in force and decides what a changed settings
/// file changes.
class LiveSettings {
public:
  explicit LiveSettings(admin::NodeSettings inForce)
      : InForce(std::move(inForce)) {}

  /// Takes the text of the file, which may be the same as before. Sets
  /// \p reason if the text is rejected; the same text is reported only once.
  SettingsUpdate update(std::string_view text, base::LastReason &reason);

  const admin::NodeSettings &inForce() const { return InForce; }

private:
  admin::NodeSettings InForce;
  std::string LastText;
};

} // namespace radishcross::node
