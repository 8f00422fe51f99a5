#include <LibNode/LiveSettings.h>

#include <utility>

namespace radishcross::node {

SettingsUpdate LiveSettings::take(std::string_view text,
                                    base::LastReason &reason) {
  if (text == LastText)
    return {};
  LastText = text;
  auto next = admin::parseNodeSettings(text, reason);
  if (!next)
    return {SettingsUpdate::Kind::Refused, {}};
  SettingsUpdate out{SettingsUpdate::Kind::Taken,
                      admin::compareSettings(InForce, *next)};
  InForce = admin::withLiveSettings(std::move(InForce), *next);
  return out;
}

} // namespace radishcross::node
