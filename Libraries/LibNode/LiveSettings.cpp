#include <LibNode/LiveSettings.h>

#include <utility>

namespace radishcross::node {

SettingsUpdate LiveSettings::update(std::string_view text,
                                    base::LastReason &reason) {
  if (text == LastText)
    return {};
  LastText = text;
  auto next = admin::parseNodeSettings(text, reason);
  if (!next)
    return {SettingsUpdate::Kind::Rejected, {}};
  SettingsUpdate out{SettingsUpdate::Kind::Applied,
                     admin::compareSettings(InForce, *next)};
  InForce = admin::withLiveSettings(std::move(InForce), *next);
  return out;
}

} // namespace radishcross::node
